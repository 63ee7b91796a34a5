package org.sardinebay.internal.request;

import org.sardinebay.MemberId;
import org.sardinebay.Position;

/**
 * A member that {@link Placement} may choose for a statement.
 *
 * @param member the member
 * @param primary whether it can be relied upon as the primary
 * @param available whether a connection to the member is idle or may be opened
 * @param roundTripMillis the round-trip time to the member, in milliseconds
 * @param openCostMillis the cost of opening a connection in milliseconds, 0 if one is idle
 * @param busySlots the estimated number of statements that run or are queued at the member
 * @param slots the number of statements that the member runs concurrently
 * @param applied the position that its reads are known to show
 * @param lagging whether it has just refused a read because it lacked the position
 * @param excessMillis how much longer than usual the member takes for such a statement, in
 *     milliseconds
 * @param excluded whether the member has already refused this statement or is unreachable
 */
public record PlacementCandidate(
    MemberId member,
    boolean primary,
    boolean available,
    long roundTripMillis,
    long openCostMillis,
    int busySlots,
    int slots,
    Position applied,
    boolean lagging,
    long excessMillis,
    boolean excluded) {}
