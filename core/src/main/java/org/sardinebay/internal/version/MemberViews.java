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
final class MemberViews {
  static final long VALID_MILLIS = 1_000;

  private final Map<MemberId, View> views = new TreeMap<>();

  /** Takes a standing unless a call that was sent later was answered already. */
  void put(EndpointReply.Standing standing, long askedMillis, long nowMillis) {
    View known = views.get(standing.member());
    if (known == null || known.askedMillis <= askedMillis) {
      views.put(standing.member(), new View(standing, askedMillis, nowMillis));
    }
  }

  void retain(List<MemberId> members) {
    views.keySet().retainAll(members);
  }

  Map<MemberId, View> all() {
    return Map.copyOf(views);
  }

  Optional<View> fresh(MemberId member, long nowMillis) {
    return Optional.ofNullable(views.get(member)).filter(view -> view.fresh(nowMillis));
  }

  List<View> fresh(long nowMillis) {
    return views.values().stream().filter(view -> view.fresh(nowMillis)).toList();
  }

  long highestTerm() {
    return views.values().stream().mapToLong(view -> view.standing.term()).max().orElse(0);
  }

  /** The highest term that so many members have seen. */
  long termSeenBy(int members, long nowMillis) {
    List<Long> terms = new ArrayList<>();
    fresh(nowMillis).forEach(view -> terms.add(view.standing.term()));
    terms.sort(Collections.reverseOrder());
    return terms.size() < members ? 0 : terms.get(members - 1);
  }

  /** The last entry of a term that so many members have received, if there is one. */
  Optional<Position> receivedBy(int members, long term) {
    List<Position> received = new ArrayList<>();
    for (View view : views.values()) {
      if (view.confirms(term)) {
        received.add(view.standing.received());
      }
    }
    received.sort(Collections.reverseOrder());
    return received.size() < members ? Optional.empty() : Optional.of(received.get(members - 1));
  }

  Map<MemberId, Long> applyLags() {
    Map<MemberId, Long> lags = new TreeMap<>();
    views.forEach((member, view) -> lags.put(member, view.applyLag()));
    return lags;
  }

  /**
   * A standing with its times.
   *
   * @param standing the standing
   * @param askedMillis when it was asked for
   * @param arrivedMillis when it arrived
   */
  record View(EndpointReply.Standing standing, long askedMillis, long arrivedMillis) {
    boolean fresh(long nowMillis) {
      return nowMillis - arrivedMillis <= VALID_MILLIS;
    }

    boolean leads(long term) {
      return standing.role() == MemberRole.PRIMARY && standing.term() == term;
    }

    boolean follows(Leader leader) {
      return standing.role() == MemberRole.REPLICA
          && standing.term() == leader.term()
          && standing.primary().filter(leader.member()::equals).isPresent();
    }

    /** The position of the entry that opens a term. */
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
