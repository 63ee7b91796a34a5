package org.sardinebay.proxy.internal.process;

import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * Who this proxy is.
 *
 * @param host its entry host
 * @param failureDomain where the host stands
 */
public record ProxyIdentity(HostId host, FailureDomain failureDomain) {}
