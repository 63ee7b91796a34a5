package org.sardinebay.controller.internal.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ScheduledExecutorService;
import org.sardinebay.Clock;
import org.sardinebay.endpoint.EndpointClient;
import org.sardinebay.internal.process.Invariants;
import org.sardinebay.internal.version.ControllerInfo;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.platform.PlatformClient;

/**
 * What all parts of a controller use.
 *
 * @param self who this process is
 * @param process the name of this running process, different after each start
 * @param clock the time
 * @param timer runs what is due
 * @param endpoints calls members
 * @param platform calls the platform
 * @param peers calls other processes
 * @param invariants told of violations
 * @param registry the metrics
 */
public record ControllerRuntime(
    ControllerInfo self,
    String process,
    Clock clock,
    ScheduledExecutorService timer,
    EndpointClient endpoints,
    PlatformClient platform,
    PeerClient peers,
    Invariants invariants,
    MeterRegistry registry) {}
