package org.sardinebay.internal.version;

import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * A controller as listed in the configuration.
 *
 * @param host its host
 * @param failureDomain the failure domain of its host
 * @param address its address for calls from proxies and controllers
 */
public record ControllerInfo(HostId host, FailureDomain failureDomain, Address address) {}
