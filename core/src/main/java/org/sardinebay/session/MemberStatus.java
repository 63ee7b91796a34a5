package org.sardinebay.session;

import org.sardinebay.Position;

/**
 * What a member says of itself when asked over its connection.
 *
 * @param role its role
 * @param term the newest term that it knows
 * @param received the last position that it received
 * @param fenceTerm the term at which it is fenced, 0 if it is not
 * @param lagMillis how far it is behind its primary, in milliseconds
 * @param busySlots statements running and waiting
 * @param connections connections of all callers
 */
public record MemberStatus(
    MemberRole role,
    long term,
    Position received,
    long fenceTerm,
    long lagMillis,
    int busySlots,
    int connections) {}
