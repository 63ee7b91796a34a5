package org.sardinebay.standins.endpoint;

/**
 * Disturbances of a member's replication and life.
 *
 * @param applyLagMillis how long after its receipt an entry is applied
 * @param receiveLagMillis how long entries take to be received
 * @param leaving whether the member closes down: it opens no more connections
 * @param freezeApply whether a replica applies nothing more
 */
record MemberFaults(
    long applyLagMillis, long receiveLagMillis, boolean leaving, boolean freezeApply) {}
