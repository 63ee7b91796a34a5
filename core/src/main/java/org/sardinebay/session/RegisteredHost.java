package org.sardinebay.session;

import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * A host as it registered itself.
 *
 * @param id its name
 * @param failureDomain where it stands
 * @param peers where it takes calls of other hosts
 */
public record RegisteredHost(HostId id, FailureDomain failureDomain, Address peers) {}
