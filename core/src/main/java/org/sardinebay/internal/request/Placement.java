package org.sardinebay.internal.request;

import java.util.Collection;
import java.util.Optional;
import org.sardinebay.MemberId;

/**
 * Chooses the member for a statement by the expected response time: near members first, remote
 * members once the slots of the near ones are taken. An added cost on the primary keeps its slots
 * free for statements that only the primary may run.
 *
 * <pre>{@code
 * Optional<MemberId> member = Placement.choose(requirement, candidates, serviceMillis);
 * }</pre>
 */
public final class Placement {
  /**
   * The cost added to the primary for reads, in milliseconds: a read goes there only if that saves
   * more time than this.
   */
  private static final long PRIMARY_PENALTY_MILLIS = 60;

  /**
   * The cost added to a replica that is not known to have applied the position, in milliseconds.
   */
  private static final long LAG_PENALTY_MILLIS = 25;

  private Placement() {}

  /**
   * Chooses a member.
   *
   * @param requirement the statement's requirements
   * @param candidates the members to choose from
   * @param serviceMillis the mean service time of the service's statements, in milliseconds
   * @return the member, empty if none can run the statement now
   */
  public static Optional<MemberId> choose(
      PlacementRequirement requirement,
      Collection<PlacementCandidate> candidates,
      long serviceMillis) {
    PlacementCandidate best = null;
    long bestCost = Long.MAX_VALUE;
    for (PlacementCandidate candidate : candidates) {
      if (!eligible(requirement, candidate)) {
        continue;
      }
      long cost = cost(requirement, candidate, serviceMillis);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best).map(PlacementCandidate::member);
  }

  private static boolean eligible(PlacementRequirement requirement, PlacementCandidate candidate) {
    return candidate.available()
        && !candidate.excluded()
        && (candidate.primary() || !requirement.primaryOnly())
        && (candidate.primary() || !candidate.lagging() || hasPosition(requirement, candidate));
  }

  private static boolean hasPosition(
      PlacementRequirement requirement, PlacementCandidate candidate) {
    return requirement
        .minimumPosition()
        .map(minimumPosition -> candidate.applied().compareTo(minimumPosition) >= 0)
        .orElse(true);
  }

  private static long cost(
      PlacementRequirement requirement, PlacementCandidate candidate, long serviceMillis) {
    long queued = Math.max(0, candidate.busySlots() + 1 - candidate.slots());
    long cost =
        candidate.roundTripMillis()
            + candidate.openCostMillis()
            + candidate.excessMillis()
            + queued * serviceMillis / candidate.slots();
    if (requirement.primaryOnly()) {
      return cost;
    }
    if (candidate.primary()) {
      return cost + PRIMARY_PENALTY_MILLIS;
    }
    return hasPosition(requirement, candidate) ? cost : cost + LAG_PENALTY_MILLIS;
  }
}
