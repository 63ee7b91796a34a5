package org.sardinebay.standins.endpoint;

/**
 * Faults that a member simulates.
 *
 * @param applyLagMillis the delay in milliseconds between receiving and applying an entry
 * @param receiveLagMillis the delay in milliseconds before received entries are processed
 * @param leaving whether the member is shutting down and refuses new connections
 * @param freezeApply whether a replica stops applying entries
 */
record MemberFaults(
    long applyLagMillis, long receiveLagMillis, boolean leaving, boolean freezeApply) {}
