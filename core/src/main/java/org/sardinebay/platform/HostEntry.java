package org.sardinebay.platform;

import org.sardinebay.FailureDomain;

/**
 * One host in the platform's lagging list.
 *
 * @param name the host's name: an entry host's, or a member's for endpoint hosts
 * @param failureDomain where it stands
 * @param leaving whether it is about to leave
 */
public record HostEntry(String name, FailureDomain failureDomain, boolean leaving) {}
