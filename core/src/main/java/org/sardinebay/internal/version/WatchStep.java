package org.sardinebay.internal.version;

import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;

/**
 * The actions requested by a {@link DatabaseWatch} after one poll.
 *
 * @param polls the members to poll for their progress
 * @param follows the members that have to be told to follow the primary
 * @param querySuspicion whether to query the other watchers about the primary's silence
 * @param promotion the promotion to start, if one is due
 * @param publication the primary to publish because its driver has not published it, if any
 * @param promotionNeeded whether a promotion is needed, whether due yet or not
 */
public record WatchStep(
    List<MemberId> polls,
    List<PendingFollow> follows,
    boolean querySuspicion,
    Optional<PromotionPlan> promotion,
    Optional<Publication> publication,
    boolean promotionNeeded) {}
