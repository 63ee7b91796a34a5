package org.sardinebay.internal.version;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.record.DatabaseRecord;

/**
 * What a promotion starts from.
 *
 * @param database the database
 * @param cause why a primary is promoted
 * @param ledTerm the term of the primary that is to be replaced, 0 if there was none
 * @param highestTerm the highest term that any member has seen
 * @param silent the member that is not expected to answer, if any
 * @param leaving the members that are closing down
 * @param applyLags how many entries each member has received but not applied
 */
public record PromotionPlan(
    DatabaseRecord database,
    PromotionCause cause,
    long ledTerm,
    long highestTerm,
    Optional<MemberId> silent,
    Set<MemberId> leaving,
    Map<MemberId, Long> applyLags) {}
