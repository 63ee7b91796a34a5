package org.sardinebay.session;

import org.sardinebay.Position;

/**
 * The status that a member reports over a connection.
 *
 * @param role the member's role
 * @param term the newest term that the member knows
 * @param received the last position that the member received
 * @param fenceTerm the term at which the member is fenced, 0 if it is not fenced
 * @param lagMillis the replication lag behind the primary, in milliseconds
 * @param busySlots the number of statements that run or are queued
 * @param connections the number of open connections of all clients
 */
public record MemberStatus(
    MemberRole role,
    long term,
    Position received,
    long fenceTerm,
    long lagMillis,
    int busySlots,
    int connections) {}
