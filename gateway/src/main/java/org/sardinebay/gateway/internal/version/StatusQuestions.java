package org.sardinebay.gateway.internal.version;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.MemberAnswer;
import org.sardinebay.gateway.internal.connection.MemberLink;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.MemberStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the members of one service for their status, as often as what is believed of them needs it,
 * and passes the answers to the view.
 *
 * <pre>{@code
 * if (questions.due(pool, statementsWait, now)) { questions.ask(pool); }
 * }</pre>
 */
final class StatusQuestions {
  private static final Logger LOG = LoggerFactory.getLogger(StatusQuestions.class);

  /** How often each member is asked for its status when all is well, in milliseconds. */
  private static final long INTERVAL_MILLIS = 8_000;

  /** How often members are asked while something is amiss, in milliseconds. */
  private static final long URGENT_INTERVAL_MILLIS = 250;

  /**
   * The nearest replica is asked to confirm the lease when less than this is left of it, in
   * milliseconds.
   */
  private static final long LEASE_RENEWAL_MILLIS = 550;

  /**
   * All replicas are asked when less than this is left, in milliseconds: an answer was lost or is
   * late, and the interval of urgent questions still fits in.
   */
  private static final long LEASE_IN_DANGER_MILLIS = 400;

  /** How long a status may take, in milliseconds: it waits for a slot behind other statements. */
  private static final long TIMEOUT_MILLIS = 700;

  private final ServiceView view;
  private final MemberProtocol protocol;
  private final ToLongFunction<MemberView> distanceMillis;
  private final Clock clock;
  private final Map<MemberId, Long> askedAt = new HashMap<>();
  private final Map<MemberId, Integer> othersBusy = new HashMap<>();

  StatusQuestions(
      ServiceView view,
      MemberProtocol protocol,
      ToLongFunction<MemberView> distanceMillis,
      Clock clock) {
    this.view = view;
    this.distanceMillis = distanceMillis;
    this.protocol = protocol;
    this.clock = clock;
  }

  /** Whether a member should be asked now: a connection to it is idle, and news are needed. */
  boolean due(MemberPool pool, boolean statementsWait, long now) {
    if (!pool.hasIdle()) {
      return false;
    }
    long silent = now - askedAt.getOrDefault(pool.entry().id(), Long.MIN_VALUE / 2);
    boolean needsRoom = statementsWait && pool.allowance().waitsForReport(pool.size(), now);
    boolean urgent =
        view.primary().isEmpty() || needsLook(pool) || renewsLease(pool, now) || needsRoom;
    return silent >= (urgent ? URGENT_INTERVAL_MILLIS : INTERVAL_MILLIS);
  }

  private boolean needsLook(MemberPool pool) {
    return view.member(pool.entry().id())
        .filter(m -> m.failing() || m.status().isEmpty())
        .isPresent();
  }

  /** One confirmation prolongs the lease, so a single replica is asked while there is time. */
  private boolean renewsLease(MemberPool pool, long now) {
    MemberId member = pool.entry().id();
    if (view.primary().filter(m -> m.id().equals(member)).isPresent()) {
      return false;
    }
    long left = view.leaseMillis(now);
    return left < LEASE_IN_DANGER_MILLIS
        || (left < LEASE_RENEWAL_MILLIS && nearestReplica().equals(Optional.of(member)));
  }

  private Optional<MemberId> nearestReplica() {
    return view.members().stream()
        .filter(m -> !m.failing() && !view.primary().equals(Optional.of(m)))
        .min(Comparator.comparingLong(distanceMillis).thenComparing(m -> m.id().value()))
        .map(MemberView::id);
  }

  void ask(MemberPool pool) {
    askedAt.put(pool.entry().id(), clock.millis());
    control(pool, protocol.statusText(), status -> {});
  }

  /** Sends a control statement, which a member answers with its status. */
  void control(MemberPool pool, String text, Consumer<Optional<MemberStatus>> done) {
    Optional<MemberLink> lent = pool.lend(Map.of());
    if (lent.isEmpty()) {
      done.accept(Optional.empty());
      return;
    }
    MemberLink link = lent.get();
    int own = pool.lent();
    link.exchange(
        protocol.query(MemberProtocol.OWN_ID, Optional.empty(), text),
        TIMEOUT_MILLIS,
        answer -> {
          Optional<MemberStatus> status = onAnswer(pool, own, answer);
          pool.giveBack(link);
          done.accept(status);
        });
  }

  private Optional<MemberStatus> onAnswer(MemberPool pool, int own, MemberAnswer answer) {
    if (answer instanceof MemberAnswer.Lost lost) {
      pool.onLost(lost.cause());
      return Optional.empty();
    }
    MemberAnswer.Whole whole = (MemberAnswer.Whole) answer;
    Optional<MemberStatus> status = whole.rows().stream().findFirst().flatMap(protocol::status);
    status.ifPresent(s -> onStatus(pool, own, s, whole.askedAt()));
    whole
        .ready()
        .position()
        .ifPresent(p -> view.onApplied(pool.entry().id(), p, whole.askedAt(), clock.millis()));
    return status;
  }

  private void onStatus(MemberPool pool, int own, MemberStatus status, long askedAtMillis) {
    MemberId id = pool.entry().id();
    pool.allowance().reported(status.connections());
    othersBusy.put(id, Math.max(0, status.busySlots() - own));
    boolean changed = view.onStatus(id, status, askedAtMillis, clock.millis());
    if (changed) {
      LOG.atInfo()
          .setMessage("primary_changed")
          .addKeyValue("service", view.service())
          .addKeyValue("member", id.value())
          .addKeyValue("role", status.role())
          .addKeyValue("term", status.term())
          .addKeyValue("received", status.received())
          .addKeyValue("fence_term", status.fenceTerm())
          .log();
    }
  }

  /** Slots of a member that other hosts' statements hold, as it said last. */
  int othersBusy(MemberId member) {
    return othersBusy.getOrDefault(member, 0);
  }

  void forget(MemberId member) {
    askedAt.remove(member);
    othersBusy.remove(member);
  }
}
