package org.sardinebay.gateway.internal.version;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.ControlConnection;
import org.sardinebay.gateway.internal.connection.LossCause;
import org.sardinebay.gateway.internal.connection.MemberAnswer;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.internal.connection.AnswerKind;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.PrimaryLease;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.MemberStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the status of the members of one service, more often while the view needs fresh data, and
 * passes the results to the view.
 *
 * <pre>{@code
 * if (statusPoller.isDue(pool, statementsWait, now)) { statusPoller.poll(pool); }
 * }</pre>
 */
final class StatusPoller {
  private static final Logger LOG = LoggerFactory.getLogger(StatusPoller.class);

  /** Polling interval of each member in normal operation, in milliseconds. */
  private static final long INTERVAL_MILLIS = 8_000;

  /**
   * Polling interval while a status is needed soon, in milliseconds: no primary is known, the
   * member is unreachable or has not reported, the lease has to be renewed, or waiting statements
   * need more connections.
   */
  private static final long URGENT_INTERVAL_MILLIS = 250;

  /**
   * When less than this is left of the primary's lease, in milliseconds, the nearest replica is
   * polled to renew it.
   */
  private static final long LEASE_RENEWAL_MILLIS = 550;

  /**
   * When less than this is left of the lease, in milliseconds, all replicas are polled: an answer
   * was lost or is late, and there is still time for one urgent polling interval.
   */
  private static final long LEASE_CRITICAL_MILLIS = 400;

  /**
   * When a replica's last confirmation covers the lease for less than this, in milliseconds, it is
   * polled: there is time for an answer that is lost and for a second poll.
   */
  private static final long COVERAGE_RENEWAL_MILLIS = 1_000;

  /** The same while confirmations cover the lease for no longer than they extend it. */
  private static final long SHORT_COVERAGE_RENEWAL_MILLIS = LEASE_RENEWAL_MILLIS;

  /**
   * Timeout of a status query, in milliseconds: on the member, the query may wait for a slot behind
   * other statements.
   */
  private static final long TIMEOUT_MILLIS = 700;

  private final ServiceView view;
  private final MemberProtocol protocol;
  private final ToLongFunction<MemberView> roundTripMillis;
  private final Clock clock;
  private final Map<MemberId, Long> polledAt = new HashMap<>();

  /** Members whose last status equalled an earlier one of its connection, which proves nothing. */
  private final Set<MemberId> statusToRepeat = new HashSet<>();

  private final Map<MemberId, Integer> slotsBusyElsewhere = new HashMap<>();

  StatusPoller(
      ServiceView view,
      MemberProtocol protocol,
      ToLongFunction<MemberView> roundTripMillis,
      Clock clock) {
    this.view = view;
    this.roundTripMillis = roundTripMillis;
    this.protocol = protocol;
    this.clock = clock;
  }

  /**
   * Whether a member should be polled now: a connection is idle and the last poll is long enough
   * ago.
   */
  boolean isDue(MemberPool pool, boolean statementsWait, long now) {
    if (!pool.hasIdle()) {
      return false;
    }
    if (statusToRepeat.contains(pool.entry().id()) && pool.hasIdleWithoutStatus()) {
      return true;
    }
    long sinceLastPoll = now - polledAt.getOrDefault(pool.entry().id(), Long.MIN_VALUE / 2);
    boolean needsStatusForQuota = statementsWait && pool.quota().needsFreshStatus(pool.size(), now);
    boolean urgent =
        view.primary().isEmpty()
            || statusUnknown(pool)
            || renewsLease(pool, now)
            || needsStatusForQuota;
    return sinceLastPoll >= (urgent ? URGENT_INTERVAL_MILLIS : INTERVAL_MILLIS);
  }

  private boolean statusUnknown(MemberPool pool) {
    return view.member(pool.entry().id())
        .filter(m -> m.unreachable() || m.status().isEmpty())
        .isPresent();
  }

  /**
   * The answer of one replica extends the lease, so only one is polled while there is time. The
   * others are polled less often, to cover it.
   */
  private boolean renewsLease(MemberPool pool, long now) {
    MemberId member = pool.entry().id();
    if (view.primary().filter(m -> m.id().equals(member)).isPresent()) {
      return false;
    }
    long remainingMillis = view.leaseMillis(now);
    return remainingMillis < LEASE_CRITICAL_MILLIS
        || coverageEnds(member, now)
        || (remainingMillis < LEASE_RENEWAL_MILLIS && nearestReplica().equals(Optional.of(member)));
  }

  private boolean coverageEnds(MemberId member, long now) {
    long leadMillis =
        view.lease().coverageMillis(now) > PrimaryLease.DURATION_MILLIS
            ? COVERAGE_RENEWAL_MILLIS
            : SHORT_COVERAGE_RENEWAL_MILLIS;
    return view.lease().coverageRemainingMillis(now) < leadMillis
        && view.lease().coverageMillis(member, now) < leadMillis;
  }

  private Optional<MemberId> nearestReplica() {
    return view.members().stream()
        .filter(m -> !m.unreachable() && !view.primary().equals(Optional.of(m)))
        .min(Comparator.comparingLong(roundTripMillis).thenComparing(m -> m.id().value()))
        .map(MemberView::id);
  }

  void poll(MemberPool pool) {
    polledAt.put(pool.entry().id(), clock.millis());
    statusToRepeat.remove(pool.entry().id());
    sendControl(pool, protocol.statusText(), status -> {});
  }

  /** Sends a control statement; the member replies with its status. */
  void sendControl(MemberPool pool, String text, Consumer<Optional<MemberStatus>> done) {
    Optional<ControlConnection> acquired = pool.acquireForControl();
    if (acquired.isEmpty()) {
      done.accept(Optional.empty());
      return;
    }
    int ownInUse = pool.inUse();
    acquired
        .get()
        .connection()
        .exchange(
            protocol.query(MemberProtocol.INTERNAL_STATEMENT_ID, Optional.empty(), text),
            AnswerKind.STATUS,
            TIMEOUT_MILLIS,
            answer -> {
              Optional<MemberStatus> status = onAnswer(pool, ownInUse, answer);
              acquired.get().release().run();
              done.accept(status);
            });
  }

  private Optional<MemberStatus> onAnswer(MemberPool pool, int ownInUse, MemberAnswer answer) {
    if (answer instanceof MemberAnswer.Lost lost) {
      pool.reportLoss(lost.cause());
      if (lost.cause() == LossCause.UNPROVEN) {
        statusToRepeat.add(pool.entry().id());
        pool.open();
      }
      return Optional.empty();
    }
    MemberAnswer.Complete complete = (MemberAnswer.Complete) answer;
    Optional<MemberStatus> status = complete.rows().stream().findFirst().flatMap(protocol::status);
    status.ifPresent(s -> onStatus(pool, ownInUse, s, complete.sentAt()));
    complete
        .ready()
        .position()
        .ifPresent(p -> view.onApplied(pool.entry().id(), p, complete.sentAt(), clock.millis()));
    return status;
  }

  private void onStatus(MemberPool pool, int ownInUse, MemberStatus status, long sentAtMillis) {
    MemberId id = pool.entry().id();
    pool.quota().onTotalReported(status.connections());
    slotsBusyElsewhere.put(id, Math.max(0, status.busySlots() - ownInUse));
    boolean primaryChanged = view.onStatus(id, status, sentAtMillis, clock.millis());
    if (primaryChanged) {
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

  /** Number of slots of a member that other hosts' statements occupied at its last status. */
  int slotsBusyElsewhere(MemberId member) {
    return slotsBusyElsewhere.getOrDefault(member, 0);
  }

  void remove(MemberId member) {
    polledAt.remove(member);
    statusToRepeat.remove(member);
    slotsBusyElsewhere.remove(member);
  }
}
