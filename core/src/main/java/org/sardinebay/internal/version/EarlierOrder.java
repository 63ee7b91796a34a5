package org.sardinebay.internal.version;

import java.util.List;
import org.sardinebay.MemberId;

/**
 * A promotion that an earlier driver may have ordered before this one took its change over.
 *
 * @param newestTerm the newest term that a member had reported by then
 * @param takenOverAt when the change was taken over, in milliseconds
 */
record EarlierOrder(long newestTerm, long takenOverAt) {
  /**
   * How long a promotion ordered by an earlier driver may still take effect, in milliseconds. It is
   * longer than the longest known promotion, which took one second.
   */
  private static final long VALID_MILLIS = 2_500;

  /** Whether the order can't take effect any more if it has not yet done so. */
  private boolean overdue(long now) {
    return now - takenOverAt >= VALID_MILLIS;
  }

  /** Returns whether every member has been seen since then not to have followed the order. */
  boolean hadNoEffect(ServiceView view, long now) {
    return overdue(now)
        && view.members().stream().allMatch(this::notFollowedBy)
        && !view.lease().recentlyDeparted(now);
  }

  /** Returns the reachable members that have to be asked whether they follow the order. */
  List<MemberId> membersToAsk(ServiceView view, long now) {
    return view.members().stream()
        .filter(m -> overdue(now) && !m.unreachable() && !notFollowedBy(m))
        .map(MemberView::id)
        .toList();
  }

  /** Whether a member has reported an older term since the order was overdue. */
  private boolean notFollowedBy(MemberView member) {
    return !member.unreachable()
        && member.status().filter(status -> status.term() <= newestTerm).isPresent()
        && member.statusRequestedAt().orElse(Long.MIN_VALUE) >= takenOverAt + VALID_MILLIS;
  }
}
