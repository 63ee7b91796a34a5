package org.sardinebay.internal.version;

import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * One controller, as the configuration names it.
 *
 * @param host its host
 * @param failureDomain where it stands
 * @param address where it takes calls of proxies and controllers
 */
public record ControllerInfo(HostId host, FailureDomain failureDomain, Address address) {}
