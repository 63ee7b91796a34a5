package org.sardinebay.gateway.internal.version;

/**
 * What decided that a statement found no place, for the log.
 *
 * @param primary the believed primary's id, a hyphen if none is known
 * @param leaseMillis how long it may still be relied upon
 * @param unusableMillis how long there has been none to rely upon
 * @param waiting statements that wait for a place
 * @param reachableMembers members that this host reaches
 * @param members for each member its id, connections lent, connections open, and whether it fails
 */
public record PlaceFacts(
    String primary,
    long leaseMillis,
    long unusableMillis,
    int waiting,
    long reachableMembers,
    String members) {}
