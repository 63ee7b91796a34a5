package org.sardinebay.internal.request;

import java.util.Collection;
import java.util.Optional;
import org.sardinebay.MemberId;

/**
 * Chooses the member for a statement by the expected time to its answer: near members first, remote
 * ones once the near ones' slots are taken. The primary's slots are kept for what only it may run.
 *
 * <pre>{@code
 * Optional<MemberId> member = Placement.choose(need, candidates);
 * }</pre>
 */
public final class Placement {
  /** A statement's time in a slot, in milliseconds: the mean over the kinds of request. */
  private static final long WORK_MILLIS = 24;

  /** What a read must save to go to the primary instead of a replica, in milliseconds. */
  private static final long PRIMARY_PENALTY_MILLIS = 60;

  /** What a read may lose by asking a replica that has not shown the position yet. */
  private static final long BEHIND_PENALTY_MILLIS = 25;

  private Placement() {}

  /**
   * Chooses a member.
   *
   * @param need what the statement needs
   * @param candidates the members
   * @return the member, empty if none can take the statement now
   */
  public static Optional<MemberId> choose(
      PlacementNeed need, Collection<PlacementCandidate> candidates) {
    PlacementCandidate best = null;
    long bestCost = Long.MAX_VALUE;
    for (PlacementCandidate candidate : candidates) {
      if (!fits(need, candidate)) {
        continue;
      }
      long cost = cost(need, candidate);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best).map(PlacementCandidate::member);
  }

  private static boolean fits(PlacementNeed need, PlacementCandidate candidate) {
    return candidate.available()
        && !candidate.excluded()
        && (candidate.primary() || !need.primaryOnly());
  }

  private static long cost(PlacementNeed need, PlacementCandidate candidate) {
    long ahead = Math.max(0, candidate.busySlots() + 1 - candidate.slots());
    long cost = candidate.distanceMillis() + ahead * WORK_MILLIS / candidate.slots();
    if (need.primaryOnly()) {
      return cost;
    }
    if (candidate.primary()) {
      return cost + PRIMARY_PENALTY_MILLIS;
    }
    boolean shown =
        need.least().map(least -> candidate.applied().compareTo(least) >= 0).orElse(true);
    return shown ? cost : cost + BEHIND_PENALTY_MILLIS;
  }
}
