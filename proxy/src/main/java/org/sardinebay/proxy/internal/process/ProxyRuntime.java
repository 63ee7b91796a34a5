package org.sardinebay.proxy.internal.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ScheduledExecutorService;
import org.sardinebay.Clock;
import org.sardinebay.endpoint.EndpointClient;
import org.sardinebay.internal.process.InvariantReporter;
import org.sardinebay.internal.process.RetryBudget;

/**
 * The services shared by the components of a proxy.
 *
 * @param identity the identity of the proxy
 * @param clock the time source
 * @param timer runs delayed and periodic tasks, which must not block
 * @param endpoints sends calls to members
 * @param invariantReporter receives invariant violations
 * @param retries the budget that limits retries
 * @param metrics the metrics registry
 */
public record ProxyRuntime(
    ProxyIdentity identity,
    Clock clock,
    ScheduledExecutorService timer,
    EndpointClient endpoints,
    InvariantReporter invariantReporter,
    RetryBudget retries,
    MeterRegistry metrics) {}
