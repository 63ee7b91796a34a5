package org.sardinebay.standins.endpoint;

import org.sardinebay.MemberId;

/**
 * A member's limits and times.
 *
 * @param member its name
 * @param connectionLimit how many connections it takes
 * @param slots how many statements run at once
 * @param openMillis how long a connection takes to open
 * @param idleMillis after how long a silent connection is closed
 * @param serviceMillis how long a statement holds its slot
 * @param pullBatch how many entries a replica gets at once
 */
record MemberSettings(
    MemberId member,
    int connectionLimit,
    int slots,
    long openMillis,
    long idleMillis,
    long serviceMillis,
    int pullBatch) {}
