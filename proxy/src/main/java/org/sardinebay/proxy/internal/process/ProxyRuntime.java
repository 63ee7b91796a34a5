package org.sardinebay.proxy.internal.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ScheduledExecutorService;
import org.sardinebay.Clock;
import org.sardinebay.endpoint.EndpointClient;
import org.sardinebay.internal.process.Invariants;
import org.sardinebay.internal.process.RetryBudget;

/**
 * What the parts of one proxy share.
 *
 * @param identity who it is
 * @param clock the time
 * @param timer runs what is due later; its tasks must not block
 * @param endpoints sends calls to members
 * @param invariants hears of violations
 * @param retries limits retries
 * @param metrics where it counts
 */
public record ProxyRuntime(
    ProxyIdentity identity,
    Clock clock,
    ScheduledExecutorService timer,
    EndpointClient endpoints,
    Invariants invariants,
    RetryBudget retries,
    MeterRegistry metrics) {}
