package org.sardinebay.internal.request;

import org.sardinebay.MemberId;
import org.sardinebay.Position;

/**
 * A member as the choice of a place sees it.
 *
 * @param member the member
 * @param primary whether it is the primary and may be relied upon
 * @param available whether a connection to it is idle or may be opened
 * @param distanceMillis the time of one round trip to it
 * @param busySlots statements believed to run or wait there
 * @param slots statements that it runs at once
 * @param applied the position that its reads are known to show
 * @param excluded whether it has already refused this statement or is out of reach
 */
public record PlacementCandidate(
    MemberId member,
    boolean primary,
    boolean available,
    long distanceMillis,
    int busySlots,
    int slots,
    Position applied,
    boolean excluded) {}
