package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.Failure;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.RouteReason;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.record.MemberRecord;

/**
 * Chooses the member for a read: a replica that is expected to meet the read's requirements,
 * preferably in the proxy's own failure domain; otherwise the primary.
 *
 * <pre>{@code
 * ReadRoute route = router.route(view, requirement, load, tried, now);
 * }</pre>
 *
 * <p>Reads overflow only to idle members of another failure domain: queueing at a busy near replica
 * is better than queueing at a remote one, which would slow down the remote domain's own reads. The
 * two stable states of unlimited overflow are described in "Job Allocation in Large-Scale Service
 * Systems with Affinity Relations".
 */
public final class ReadRouter {
  /**
   * How long the chosen member may wait to apply the required position, in milliseconds. A replica
   * that is expected to need longer is not chosen.
   */
  public static final long MAX_REPLICA_WAIT_MILLIS = 40;

  /** How much data ages between the routing decision and the answer, in milliseconds. */
  public static final long READ_LATENCY_MILLIS = 30;

  private final FailureDomain ownDomain;

  /**
   * Creates a router.
   *
   * @param ownDomain the proxy's failure domain
   */
  public ReadRouter(FailureDomain ownDomain) {
    this.ownDomain = ownDomain;
  }

  /**
   * Chooses a member.
   *
   * @param view the current view of the database
   * @param requirement the read's consistency requirements
   * @param load the load of the members
   * @param tried the members that were already tried
   * @param now the current time in milliseconds
   * @return the member, or the reason why there is none
   */
  public ReadRoute route(
      DatabaseView view,
      ReadRequirement requirement,
      MemberLoad load,
      Set<MemberId> tried,
      long now) {
    if (requirement.session().isEmpty() && requirement.maxAgeMillis().isEmpty()) {
      return toPrimary(view, Position.ZERO, tried, RouteReason.NO_SESSION_POSITION, now);
    }
    Position minimumPosition = requirement.session().orElse(Position.ZERO);
    if (requirement.maxAgeMillis().isPresent()) {
      long at = now + READ_LATENCY_MILLIS;
      Optional<Position> youngEnough =
          view.minimumPositionForAge(at, requirement.maxAgeMillis().getAsLong());
      if (youngEnough.isEmpty()) {
        return toPrimaryWithUnprovedAge(view, requirement, minimumPosition, tried, now);
      }
      minimumPosition = later(minimumPosition, youngEnough.get());
    }
    Optional<ReadRoute> replica = toReplica(view, minimumPosition, load, tried, now);
    if (replica.isPresent()) {
      return replica.get();
    }
    RouteReason reason = tried.isEmpty() ? RouteReason.REPLICAS_BEHIND : RouteReason.REPLICAS_TRIED;
    return toPrimary(view, minimumPosition, tried, reason, now);
  }

  private static Position later(Position one, Position other) {
    return one.index() >= other.index() ? one : other;
  }

  private ReadRoute toPrimaryWithUnprovedAge(
      DatabaseView view,
      ReadRequirement requirement,
      Position minimumPosition,
      Set<MemberId> tried,
      long now) {
    ReadRoute primary = toPrimary(view, minimumPosition, tried, RouteReason.AGE_NOT_PROVED, now);
    return primary instanceof ReadRoute.ToMember
        ? primary
        : new ReadRoute.Unavailable(
            new Failure.AgeNotProvable(requirement.maxAgeMillis().getAsLong()));
  }

  private Optional<ReadRoute> toReplica(
      DatabaseView view, Position minimumPosition, MemberLoad load, Set<MemberId> tried, long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (MemberRecord member : view.database().members()) {
      boolean isPrimary = view.primary().equals(Optional.of(member.id()));
      if (isPrimary || tried.contains(member.id()) || !view.usable(member.id(), now)) {
        continue;
      }
      long wait = view.expectedAt(member.id(), minimumPosition.index(), now) - now;
      if (wait <= MAX_REPLICA_WAIT_MILLIS) {
        candidates.add(candidate(member, wait, load));
      }
    }
    return candidates.stream().min(Candidate.ORDER).map(best -> best.route(minimumPosition));
  }

  private Candidate candidate(MemberRecord member, long wait, MemberLoad load) {
    boolean local = member.failureDomain().equals(ownDomain);
    return new Candidate(member.id(), local, load.idle(member.id()), Math.max(0, wait));
  }

  private static ReadRoute toPrimary(
      DatabaseView view,
      Position minimumPosition,
      Set<MemberId> tried,
      RouteReason reason,
      long now) {
    if (view.primary().isEmpty()) {
      return new ReadRoute.Unavailable(new Failure.NoPrimary(view.database().id()));
    }
    MemberId primary = view.primary().get();
    if (tried.contains(primary)) {
      return new ReadRoute.Unavailable(new Failure.SessionNotReached());
    }
    if (!view.majorityAnswers(now)) {
      return new ReadRoute.Unavailable(new Failure.MajorityUnreachable(view.database().id()));
    }
    if (!view.reachable(primary, now)) {
      return new ReadRoute.Unavailable(new Failure.PrimaryUnreachable(primary));
    }
    return new ReadRoute.ToMember(primary, true, minimumPosition, MAX_REPLICA_WAIT_MILLIS, reason);
  }

  private record Candidate(MemberId member, boolean local, boolean idle, long waitMillis) {
    /**
     * Orders idle local members first, then idle remote, busy local and busy remote ones; within
     * each group by the shortest wait.
     */
    private static final Comparator<Candidate> ORDER =
        Comparator.comparingInt(Candidate::preference)
            .thenComparingLong(Candidate::waitMillis)
            .thenComparing(Candidate::member);

    private int preference() {
      if (idle) {
        return local ? 0 : 1;
      }
      return local ? 2 : 3;
    }

    private ReadRoute route(Position minimumPosition) {
      return new ReadRoute.ToMember(
          member, false, minimumPosition, MAX_REPLICA_WAIT_MILLIS, reason());
    }

    private RouteReason reason() {
      if (waitMillis > 0) {
        return RouteReason.REPLICA_EXPECTED_IN_TIME;
      }
      return local
          ? RouteReason.LOCAL_REPLICA_HAS_POSITION
          : RouteReason.REMOTE_REPLICA_HAS_POSITION;
    }
  }
}
