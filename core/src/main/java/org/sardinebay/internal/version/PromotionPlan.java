package org.sardinebay.internal.version;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.record.DatabaseRecord;

/**
 * The input of a promotion.
 *
 * @param database the database
 * @param cause the reason for the promotion
 * @param replacedTerm the term of the primary to replace, 0 if there was none
 * @param highestTerm the highest term that any member has seen
 * @param silent the member that is not expected to reply, if any
 * @param excluded the members to exclude from promotion if possible: those shutting down, and a
 *     primary that is cut off
 * @param applyLags how many entries each member has received but not applied
 */
public record PromotionPlan(
    DatabaseRecord database,
    PromotionCause cause,
    long replacedTerm,
    long highestTerm,
    Optional<MemberId> silent,
    Set<MemberId> excluded,
    Map<MemberId, Long> applyLags) {}
