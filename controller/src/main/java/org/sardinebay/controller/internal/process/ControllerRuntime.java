package org.sardinebay.controller.internal.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ScheduledExecutorService;
import org.sardinebay.Clock;
import org.sardinebay.endpoint.EndpointClient;
import org.sardinebay.internal.process.InvariantReporter;
import org.sardinebay.internal.version.ControllerInfo;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.platform.PlatformClient;

/**
 * The services shared by the components of a controller.
 *
 * @param self the identity and peer address of this controller
 * @param process the unique name of this process, different after each start
 * @param clock the time source
 * @param timer runs delayed and periodic tasks
 * @param endpoints sends calls to members
 * @param platform sends calls to the platform
 * @param peers sends calls to other processes
 * @param invariantReporter receives invariant violations
 * @param registry the metrics registry
 */
public record ControllerRuntime(
    ControllerInfo self,
    String process,
    Clock clock,
    ScheduledExecutorService timer,
    EndpointClient endpoints,
    PlatformClient platform,
    PeerClient peers,
    InvariantReporter invariantReporter,
    MeterRegistry registry) {}
