package org.sardinebay.proxy.internal.process;

import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * The identity of a proxy.
 *
 * @param host the host on which the proxy runs
 * @param failureDomain the failure domain of the host
 */
public record ProxyIdentity(HostId host, FailureDomain failureDomain) {}
