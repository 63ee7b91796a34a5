package org.sardinebay.internal.version;

import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;

/**
 * What a {@link DatabaseWatch} asks for after one poll.
 *
 * @param polls the members to ask for their progress
 * @param follows the members to set to follow the primary
 * @param askWatchers whether to ask the other watchers about the primary's silence
 * @param promotion the promotion to start, if one is due
 * @param publication the primary to publish because its driver did not, if there is one
 * @param promotionNeeded whether there is cause for a promotion, due or not
 */
public record WatchStep(
    List<MemberId> polls,
    List<FollowNeeded> follows,
    boolean askWatchers,
    Optional<PromotionPlan> promotion,
    Optional<Publication> publication,
    boolean promotionNeeded) {}
