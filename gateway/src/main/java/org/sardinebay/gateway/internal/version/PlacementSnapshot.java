package org.sardinebay.gateway.internal.version;

/**
 * The state of a service when a statement could not be placed on a member, for the log.
 *
 * @param primary id of the primary known to this host, a hyphen if none is known
 * @param leaseMillis time left of the primary's lease
 * @param millisWithoutPrimary how long there has been no primary with a valid lease
 * @param waiting number of statements waiting to be placed
 * @param reachableMembers number of members that this host can reach
 * @param members for each member its id, connections in use, open connections, and whether it is
 *     unreachable
 */
public record PlacementSnapshot(
    String primary,
    long leaseMillis,
    long millisWithoutPrimary,
    int waiting,
    long reachableMembers,
    String members) {}
