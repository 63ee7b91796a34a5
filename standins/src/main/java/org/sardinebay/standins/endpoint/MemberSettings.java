package org.sardinebay.standins.endpoint;

import org.sardinebay.MemberId;

/**
 * Limits and timings of a member.
 *
 * @param member the name of the member
 * @param connectionLimit the maximum number of connections
 * @param slots the maximum number of concurrent statements
 * @param openMillis the time to open a connection in milliseconds
 * @param idleMillis the idle time in milliseconds after which a connection is closed
 * @param serviceMillis the time in milliseconds that a statement occupies its slot
 * @param pullBatch the maximum number of entries in one reply to a replica
 */
record MemberSettings(
    MemberId member,
    int connectionLimit,
    int slots,
    long openMillis,
    long idleMillis,
    long serviceMillis,
    int pullBatch) {}
