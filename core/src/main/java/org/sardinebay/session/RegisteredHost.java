package org.sardinebay.session;

import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;

/**
 * A host's entry in the registry.
 *
 * @param id the host's name
 * @param failureDomain the failure domain that the host runs in
 * @param peerAddress the address where the host accepts calls from other hosts
 */
public record RegisteredHost(HostId id, FailureDomain failureDomain, Address peerAddress) {}
