package org.sardinebay.platform;

import org.sardinebay.FailureDomain;

/**
 * One host in the platform's host list, which lags behind the actual state.
 *
 * @param name the name of the entry host, or the name of the member for an endpoint host
 * @param failureDomain the failure domain that the host runs in
 * @param leaving whether the host is about to shut down
 */
public record HostEntry(String name, FailureDomain failureDomain, boolean leaving) {}
