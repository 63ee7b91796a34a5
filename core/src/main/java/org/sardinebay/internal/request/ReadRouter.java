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
 * Chooses the member for a read: a replica that is expected to show what the read needs, the own
 * failure domain first; else the primary.
 *
 * <pre>{@code
 * ReadRoute route = router.route(view, need, load, tried, now);
 * }</pre>
 *
 * <p>Overflow to another failure domain is limited to members that are idle: a busy near replica is
 * better than a queue at a far one, which would slow the far domain's own reads. The two stable
 * states of unlimited overflow are described in "Job Allocation in Large-Scale Service Systems with
 * Affinity Relations".
 */
public final class ReadRouter {
  /** How long a replica may wait to reach the position, in milliseconds. */
  public static final long MAX_REPLICA_WAIT_MILLIS = 40;

  /** How old proved data gets between the choice and the answer, in milliseconds. */
  public static final long READ_TRAVEL_MILLIS = 30;

  private final FailureDomain ownDomain;

  /**
   * A router.
   *
   * @param ownDomain the proxy's failure domain
   */
  public ReadRouter(FailureDomain ownDomain) {
    this.ownDomain = ownDomain;
  }

  /**
   * Chooses a member.
   *
   * @param view what is known of the database
   * @param need what the read has to show
   * @param load how busy the members are
   * @param tried members that were tried already
   * @param now the time
   * @return the member, or why there is none
   */
  public ReadRoute route(
      DatabaseView view, ReadNeed need, MemberLoad load, Set<MemberId> tried, long now) {
    if (need.session().isEmpty() && need.maxAgeMillis().isEmpty()) {
      return toPrimary(view, Position.ZERO, tried, RouteReason.NO_SESSION_POSITION, now);
    }
    Position least = need.session().orElse(Position.ZERO);
    if (need.maxAgeMillis().isPresent()) {
      long at = now + READ_TRAVEL_MILLIS;
      Optional<Position> young = view.leastForAge(at, need.maxAgeMillis().getAsLong());
      if (young.isEmpty()) {
        return ageUnproved(view, need, least, tried, now);
      }
      least = later(least, young.get());
    }
    Optional<ReadRoute> replica = toReplica(view, least, load, tried, now);
    if (replica.isPresent()) {
      return replica.get();
    }
    RouteReason reason = tried.isEmpty() ? RouteReason.REPLICAS_BEHIND : RouteReason.REPLICAS_TRIED;
    return toPrimary(view, least, tried, reason, now);
  }

  private static Position later(Position one, Position other) {
    return one.index() >= other.index() ? one : other;
  }

  private ReadRoute ageUnproved(
      DatabaseView view, ReadNeed need, Position least, Set<MemberId> tried, long now) {
    ReadRoute primary = toPrimary(view, least, tried, RouteReason.AGE_NOT_PROVED, now);
    return primary instanceof ReadRoute.ToMember
        ? primary
        : new ReadRoute.Nowhere(new Failure.AgeNotProvable(need.maxAgeMillis().getAsLong()));
  }

  private Optional<ReadRoute> toReplica(
      DatabaseView view, Position least, MemberLoad load, Set<MemberId> tried, long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (MemberRecord member : view.database().members()) {
      boolean isPrimary = view.primary().equals(Optional.of(member.id()));
      if (isPrimary || tried.contains(member.id()) || !view.usable(member.id(), now)) {
        continue;
      }
      long wait = view.expectedAt(member.id(), least.index(), now) - now;
      if (wait <= MAX_REPLICA_WAIT_MILLIS) {
        candidates.add(candidate(member, wait, load));
      }
    }
    return candidates.stream().min(Candidate.ORDER).map(best -> best.route(least));
  }

  private Candidate candidate(MemberRecord member, long wait, MemberLoad load) {
    boolean local = member.failureDomain().equals(ownDomain);
    return new Candidate(member.id(), local, load.idle(member.id()), Math.max(0, wait));
  }

  private static ReadRoute toPrimary(
      DatabaseView view, Position least, Set<MemberId> tried, RouteReason reason, long now) {
    if (view.primary().isEmpty()) {
      return new ReadRoute.Nowhere(new Failure.NoPrimary(view.database().id()));
    }
    MemberId primary = view.primary().get();
    if (tried.contains(primary)) {
      return new ReadRoute.Nowhere(new Failure.SessionNotReached());
    }
    if (!view.majorityAnswers(now)) {
      return new ReadRoute.Nowhere(new Failure.MajorityUnreachable(view.database().id()));
    }
    if (!view.reachable(primary, now)) {
      return new ReadRoute.Nowhere(new Failure.PrimaryUnreachable(primary));
    }
    return new ReadRoute.ToMember(primary, true, least, MAX_REPLICA_WAIT_MILLIS, reason);
  }

  private record Candidate(MemberId member, boolean local, boolean idle, long waitMillis) {
    /**
     * Idle and local first, then idle elsewhere, then busy and local; the shortest wait of these.
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

    private ReadRoute route(Position least) {
      return new ReadRoute.ToMember(member, false, least, MAX_REPLICA_WAIT_MILLIS, reason());
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
