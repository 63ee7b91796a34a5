package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;

/** The latest standing of each member of a database. */
final class MemberStandings {
  /** How long a standing is considered fresh after its arrival, in milliseconds. */
  static final long VALID_MILLIS = 1_000;

  private final Map<MemberId, TimedStanding> standings = new TreeMap<>();

  /** Stores a standing unless a reply to a later call is stored already. */
  void put(EndpointReply.Standing standing, long sentMillis, long nowMillis) {
    TimedStanding known = standings.get(standing.member());
    if (known == null || known.sentMillis <= sentMillis) {
      standings.put(standing.member(), new TimedStanding(standing, sentMillis, nowMillis));
    }
  }

  void retain(List<MemberId> members) {
    standings.keySet().retainAll(members);
  }

  Map<MemberId, TimedStanding> all() {
    return Map.copyOf(standings);
  }

  Optional<TimedStanding> fresh(MemberId member, long nowMillis) {
    return Optional.ofNullable(standings.get(member)).filter(latest -> latest.fresh(nowMillis));
  }

  List<TimedStanding> fresh(long nowMillis) {
    return standings.values().stream().filter(latest -> latest.fresh(nowMillis)).toList();
  }

  long highestTerm() {
    return standings.values().stream().mapToLong(latest -> latest.standing.term()).max().orElse(0);
  }

  /**
   * Returns the highest term that at least {@code members} members have seen, 0 if there is none.
   */
  long termSeenBy(int members, long nowMillis) {
    List<Long> terms = new ArrayList<>();
    fresh(nowMillis).forEach(latest -> terms.add(latest.standing.term()));
    terms.sort(Collections.reverseOrder());
    return terms.size() < members ? 0 : terms.get(members - 1);
  }

  /** Returns the last entry of a term that at least {@code members} members have received. */
  Optional<Position> receivedBy(int members, long term) {
    List<Position> received = new ArrayList<>();
    for (TimedStanding latest : standings.values()) {
      if (latest.confirms(term)) {
        received.add(latest.standing.received());
      }
    }
    received.sort(Collections.reverseOrder());
    return received.size() < members ? Optional.empty() : Optional.of(received.get(members - 1));
  }

  Map<MemberId, Long> applyLags() {
    Map<MemberId, Long> lags = new TreeMap<>();
    standings.forEach((member, latest) -> lags.put(member, latest.applyLag()));
    return lags;
  }

  /**
   * A standing with the times of its request and reply.
   *
   * @param standing the standing
   * @param sentMillis when the request was sent
   * @param arrivedMillis when the reply arrived
   */
  record TimedStanding(EndpointReply.Standing standing, long sentMillis, long arrivedMillis) {
    boolean fresh(long nowMillis) {
      return nowMillis - arrivedMillis <= VALID_MILLIS;
    }

    boolean leads(long term) {
      return standing.role() == MemberRole.PRIMARY && standing.term() == term;
    }

    boolean follows(KnownPrimary primary) {
      return standing.role() == MemberRole.REPLICA
          && standing.term() == primary.term()
          && standing.primary().filter(primary.member()::equals).isPresent();
    }

    /** Returns the position of the first entry of a term. */
    Optional<Position> start(long term) {
      return standing.history().stream().filter(start -> start.term() == term).findFirst();
    }

    private boolean confirms(long term) {
      boolean syncedReplica = standing.role() == MemberRole.REPLICA && standing.synced();
      boolean attached = leads(term) || syncedReplica;
      return attached && standing.term() == term && standing.received().term() == term;
    }

    private long applyLag() {
      return Math.max(0, standing.received().index() - standing.applied().index());
    }
  }
}
