package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;
import org.sardinebay.session.PromotionClient;

/**
 * State machine for one change of a service's primary, run by its driver while it holds the driver
 * lease. It announces the change in the store and fences the other members at the next term, waits
 * until the leases of all hosts on the old primary have expired, orders the promotion of the member
 * that has received the most entries, and checks that this member becomes primary.
 *
 * <p>The wait is {@link PrimaryLease#DURATION_MILLIS} if every member is fenced that could confirm
 * a lease. No member is taken as ended because this driver can't reach it: if one is not fenced,
 * the wait is {@link PrimaryLease#COVERAGE_MILLIS} from the announcement and the fence of the
 * member to promote.
 *
 * <p>A change orders one member only: an accepted order lifts the fences, so the promotion of
 * another member takes a new change. A fence names no driver, so a driver whose lease has ended may
 * not lift one either: it may belong to its successor. The change has no timers or connections; its
 * owner calls {@link #next} on each tick.
 *
 * <pre>{@code
 * for (ChangeStep step : change.next(view, now)) { ... }
 * change.onFenced(member, status, now);
 * }</pre>
 */
public final class PrimaryChange {
  /** The interval at which a step without a result is repeated, in milliseconds. */
  private static final long RETRY_INTERVAL_MILLIS = 150;

  /**
   * How long fencing may take, in milliseconds, before the change is handed over to a driver on
   * another host, because this host may be the only one that can't reach the other members.
   */
  private static final long FENCE_TIMEOUT_MILLIS = 5_500;

  /**
   * The time that the last commits of a demoted primary need to reach the replicas, in
   * milliseconds.
   */
  private static final long COMMIT_DELIVERY_MILLIS = 80;

  /**
   * Time that must be left of the driver lease for a step, in milliseconds, so that the step
   * reaches its member before another host can take the lease over.
   */
  public static final long STEP_LEASE_MILLIS = 400;

  /**
   * How long a member may take to be seen as primary after the promotion order, in milliseconds.
   */
  private static final long TAKEOVER_TIMEOUT_MILLIS = 4_000;

  /** The phase of the change. */
  public enum Phase {
    /** The leaving primary is being demoted to a replica. */
    DEMOTING,
    /** The other members are being fenced. */
    FENCING,
    /** Waiting for leases on the old primary to expire. */
    WAITING,
    /** The promotion is being ordered. */
    ORDERING,
    /** Waiting for the selected member to become primary. */
    TAKING_OVER,
    /** The selected member is primary. */
    DONE,
    /** The change was abandoned and the old primary stays. */
    GIVEN_UP,
    /**
     * The selected member was not seen as primary in time. The order may have taken effect all the
     * same: another member may only be promoted by a new change, with fences of its own.
     */
    UNCONFIRMED,
    /** Another host has taken the driver lease over, or a member already reports the new term. */
    SUPERSEDED
  }

  private final DriverLease lease;
  private final long token;
  private final MemberId oldPrimary;
  private final boolean planned;
  private final long newestTerm;
  private final long nextTerm;
  private final FencedMembers fenced;
  private final Map<MemberId, Long> lastSentAt = new HashMap<>();
  private final Optional<EarlierOrder> earlierOrder;
  private Phase phase;
  private long phaseSince;
  private final LeaseWait wait = new LeaseWait();
  private long announcementSentAt = Long.MIN_VALUE / 2;
  private Optional<MemberId> target = Optional.empty();
  private boolean orderPending;

  /**
   * Creates a change, which is bound to the current token of the driver lease.
   *
   * @param lease the driver lease
   * @param oldPrimary the primary to replace; an id that no member has if none is known
   * @param planned whether the old primary is leaving and reachable
   * @param begunEarlier whether an earlier driver has fenced members or announced a change; it may
   *     also have ordered a promotion
   * @param newestTerm the newest term that a member has reported
   * @param nextTerm a term that no member has been promoted to, above all that were announced; the
   *     new primary may lead an earlier one
   * @param now the current time in milliseconds
   */
  public PrimaryChange(
      DriverLease lease,
      MemberId oldPrimary,
      boolean planned,
      boolean begunEarlier,
      long newestTerm,
      long nextTerm,
      long now) {
    this.lease = lease;
    this.token = lease.token();
    this.oldPrimary = oldPrimary;
    this.planned = planned;
    this.fenced = new FencedMembers(oldPrimary, planned, nextTerm);
    this.earlierOrder =
        begunEarlier ? Optional.of(new EarlierOrder(newestTerm, now)) : Optional.empty();
    this.newestTerm = newestTerm;
    this.nextTerm = nextTerm;
    this.phase = planned ? Phase.DEMOTING : Phase.FENCING;
    this.phaseSince = now;
  }

  /**
   * Returns the phase of the change.
   *
   * @return the phase
   */
  public Phase phase() {
    return phase;
  }

  /**
   * Returns the time until the promotion can be ordered.
   *
   * @param view this host's view of the service
   * @param now the current time in milliseconds
   * @return milliseconds, 0 if it is due; {@code Long.MAX_VALUE} before the wait for leases has
   *     begun
   */
  public long promotionDueInMillis(ServiceView view, long now) {
    return switch (phase) {
      case DEMOTING, FENCING -> Long.MAX_VALUE;
      case WAITING -> Math.max(0, wait.endsAt(fenced, view, now) - now);
      default -> 0;
    };
  }

  /**
   * Returns the member selected as the new primary.
   *
   * @return the member, or empty before the selection
   */
  public Optional<MemberId> target() {
    return target;
  }

  /**
   * Returns the term at which members are fenced.
   *
   * @return the term
   */
  public long nextTerm() {
    return nextTerm;
  }

  /**
   * Advances the change and returns the actions that are due.
   *
   * @param view this host's view of the service
   * @param now the current time in milliseconds
   * @return the actions to perform; empty while less than {@link #STEP_LEASE_MILLIS} is left of the
   *     driver lease, except for the status requests that watch an ordered promotion
   */
  public List<ChangeStep> next(ServiceView view, long now) {
    List<ChangeStep> steps = new ArrayList<>();
    if (superseded(view)) {
      enter(Phase.SUPERSEDED, now);
    } else if (phase == Phase.TAKING_OVER) {
      watchTakeover(view, now, steps);
    } else if (mayAct(now)) {
      advance(view, now, steps);
    }
    return steps;
  }

  private void advance(ServiceView view, long now, List<ChangeStep> steps) {
    announce(now, steps);
    if (phase == Phase.DEMOTING) {
      demote(view, now, steps);
    }
    if (phase == Phase.FENCING
        || phase == Phase.WAITING
        || (phase == Phase.ORDERING && !orderPending)) {
      fenceMembers(view, now, steps);
    }
    if (phase == Phase.WAITING && now >= wait.endsAt(fenced, view, now)) {
      enter(Phase.ORDERING, now);
    }
    if (phase == Phase.ORDERING && !orderPending) {
      orderPromotion(view, now, steps);
    }
  }

  private boolean mayAct(long now) {
    return lease.token() == token && lease.remainingMillis(now) >= STEP_LEASE_MILLIS;
  }

  /**
   * Returns whether the old primary can continue: the change was caused by missing replies and not
   * by a leaving primary, no promotion has been ordered, and the primary replies again. A primary
   * that is leaving continues only if no other member may be promoted.
   *
   * @param view this host's view of the service
   * @return true if the change should be given up
   */
  public boolean oldPrimaryBack(ServiceView view) {
    return !planned
        && (phase == Phase.FENCING || phase == Phase.WAITING)
        && view.term() <= newestTerm
        && view.primary()
            .filter(m -> !m.unreachable() && (!m.entry().draining() || fenced.mayLackCommits(view)))
            .isPresent();
  }

  /**
   * Returns whether this change has ended, with or without a new primary.
   *
   * @return true if it has no further steps
   */
  public boolean ended() {
    return phase == Phase.DONE
        || phase == Phase.GIVEN_UP
        || phase == Phase.UNCONFIRMED
        || phase == Phase.SUPERSEDED;
  }

  /**
   * Returns whether another driver's change has replaced this one: its fences hold for that driver,
   * or are void because the new term has begun.
   */
  private boolean superseded(ServiceView view) {
    if (phase == Phase.TAKING_OVER) {
      return view.term() > newestTerm
          && view.primary().filter(m -> target.equals(Optional.of(m.id()))).isEmpty();
    }
    return !ended() && !orderPending && (lease.token() != token || view.newestTerm() > newestTerm);
  }

  private void announce(long now, List<ChangeStep> steps) {
    if (!wait.announced() && now - announcementSentAt >= RETRY_INTERVAL_MILLIS) {
      announcementSentAt = now;
      steps.add(new ChangeStep.Announce(nextTerm));
    }
  }

  /**
   * Applies the store's confirmation that the change is announced.
   *
   * @param now the current time in milliseconds
   */
  public void onAnnounced(long now) {
    wait.onAnnounced(now);
  }

  /**
   * Ends the change because another driver has announced one to the same or a later term: its order
   * may have taken effect there.
   *
   * @param now the current time in milliseconds
   */
  public void onOtherAnnouncement(long now) {
    if (!ended() && phase != Phase.TAKING_OVER) {
      enter(Phase.SUPERSEDED, now);
    }
  }

  private void demote(ServiceView view, long now, List<ChangeStep> steps) {
    boolean unreachable = view.member(oldPrimary).filter(m -> !m.unreachable()).isEmpty();
    boolean demoted =
        view.member(oldPrimary)
            .flatMap(MemberView::status)
            .filter(s -> s.role() == MemberRole.REPLICA)
            .isPresent();
    if (unreachable || (demoted && now - phaseSince >= COMMIT_DELIVERY_MILLIS)) {
      enter(Phase.FENCING, now);
    } else if (!demoted && markSentIfDue(oldPrimary, now)) {
      phaseSince = now;
      steps.add(new ChangeStep.Demote(oldPrimary, nextTerm));
    }
  }

  private void fenceMembers(ServiceView view, long now, List<ChangeStep> steps) {
    boolean reachableFenced = true;
    for (MemberView member : view.members()) {
      MemberId id = member.id();
      fenced.removeIfFenceMayBeLost(member);
      if (id.equals(oldPrimary) || fenced.contains(id)) {
        continue;
      }
      reachableFenced &= member.unreachable();
      if (markSentIfDue(id, now)) {
        // A former primary that still reports that role can't be fenced.
        boolean replaced = member.reportsPrimaryRole() && !member.unreachable();
        steps.add(
            replaced ? new ChangeStep.Demote(id, nextTerm) : new ChangeStep.Fence(id, nextTerm));
      }
    }
    if (!reachableFenced && phase != Phase.FENCING) {
      enter(Phase.FENCING, now);
    } else if (reachableFenced
        && !fenced.isEmpty()
        && !fenced.mayLackCommits(view)
        && phase == Phase.FENCING) {
      enter(Phase.WAITING, now);
    }
  }

  /**
   * Returns whether fencing is blocked by members that this host can't reach. Other hosts may reach
   * them.
   *
   * @param view this host's view of the service
   * @param now the current time in milliseconds
   * @return true if another host should take over the change
   */
  public boolean stuck(ServiceView view, long now) {
    return phase == Phase.FENCING
        && mayAct(now)
        && now - phaseSince >= FENCE_TIMEOUT_MILLIS
        && view.members().stream().anyMatch(m -> !m.id().equals(oldPrimary) && m.unreachable());
  }

  /**
   * Returns whether the change waits because the fenced replicas may lack commits that were
   * acknowledged, as too many other replicas can't be asked.
   *
   * @param view this host's view of the service
   * @return true if no member may be promoted yet
   */
  public boolean waitsForReplicas(ServiceView view) {
    return (phase == Phase.FENCING || phase == Phase.ORDERING)
        && !fenced.isEmpty()
        && fenced.mayLackCommits(view);
  }

  private void orderPromotion(ServiceView view, long now, List<ChangeStep> steps) {
    if (fenced.mayLackCommits(view)) {
      fenced.retryMembersNotRunning();
      return;
    }
    target = fenced.mostAdvanced(view);
    if (target.isEmpty()) {
      steps.addAll(giveUp(view, now));
      return;
    }
    if (now < wait.endsAt(fenced, view, now)) {
      enter(Phase.WAITING, now);
      return;
    }
    if (markSentIfDue(target.get(), now)) {
      orderPending = true;
      steps.add(new ChangeStep.Promote(target.get()));
    }
  }

  private void watchTakeover(ServiceView view, long now, List<ChangeStep> steps) {
    MemberId id = target.orElseThrow();
    if (view.primary().filter(m -> m.id().equals(id)).isPresent() && view.term() > newestTerm) {
      enter(Phase.DONE, now);
      if (view.term() < nextTerm && mayAct(now)) {
        steps.add(new ChangeStep.Withdraw(view.term()));
      }
    } else if (now - phaseSince >= TAKEOVER_TIMEOUT_MILLIS) {
      enter(Phase.UNCONFIRMED, now);
    } else if (markSentIfDue(id, now)) {
      steps.add(new ChangeStep.QueryStatus(id));
    }
  }

  /** Returns whether a step for a member is due, and if so starts the interval until its retry. */
  private boolean markSentIfDue(MemberId id, long now) {
    if (now - lastSentAt.getOrDefault(id, Long.MIN_VALUE / 2) < RETRY_INTERVAL_MILLIS) {
      return false;
    }
    lastSentAt.put(id, now);
    return true;
  }

  /**
   * Applies the reply to a fence request.
   *
   * @param member the member
   * @param status the reported status
   * @param now the current time in milliseconds
   */
  public void onFenced(MemberId member, MemberStatus status, long now) {
    fenced.onReply(member, status, now);
  }

  /**
   * Applies the outcome of the promotion order.
   *
   * @param outcome the outcome
   * @param now the current time in milliseconds
   */
  public void onPromotionOrdered(PromotionClient.Outcome outcome, long now) {
    orderPending = false;
    if (outcome == PromotionClient.Outcome.MEMBER_DOWN) {
      target.ifPresent(fenced::onNotRunning);
    } else if (outcome != PromotionClient.Outcome.REFUSED) {
      enter(Phase.TAKING_OVER, now);
    }
  }

  /**
   * Abandons the change if no promotion order can take effect, and returns the members to unfence:
   * those fenced by this change and those that an earlier driver left fenced. An order of an
   * earlier driver can't take effect any more once it is overdue and every member was seen not to
   * have followed it.
   *
   * @param view this host's view of the service
   * @param now the current time in milliseconds
   * @return one step for each fenced member, and one that withdraws the announcement. While an
   *     order may still take effect or this host may not act, the change is not abandoned, and the
   *     steps only request the status of members
   */
  public List<ChangeStep> giveUp(ServiceView view, long now) {
    boolean ordered = orderPending || phase == Phase.TAKING_OVER;
    if (ended() || ordered || !mayAct(now)) {
      return List.of();
    }
    if (earlierOrder.isPresent() && !earlierOrder.get().hadNoEffect(view, now)) {
      return earlierOrder.get().membersToAsk(view, now).stream()
          .filter(id -> markSentIfDue(id, now))
          .<ChangeStep>map(ChangeStep.QueryStatus::new)
          .toList();
    }
    enter(Phase.GIVEN_UP, now);
    List<ChangeStep> steps = new ArrayList<>();
    steps.add(new ChangeStep.Withdraw(view.term()));
    view.members().stream()
        .filter(m -> fenced.contains(m.id()) || fencedAbove(m, view.term()))
        .<ChangeStep>map(m -> new ChangeStep.Unfence(m.id()))
        .forEach(steps::add);
    return steps;
  }

  /**
   * Ends the change so that another host can take it over. Unlike {@link #giveUp}, it leaves fences
   * and the announcement if an order of an earlier driver may have taken effect.
   *
   * @param view this host's view of the service
   * @param now the current time in milliseconds
   * @return the steps that remain to be performed
   */
  public List<ChangeStep> handOver(ServiceView view, long now) {
    List<ChangeStep> steps = giveUp(view, now);
    if (!ended()) {
      enter(Phase.GIVEN_UP, now);
    }
    return steps;
  }

  private static boolean fencedAbove(MemberView member, long term) {
    return member.status().filter(status -> status.fenceTerm() > term).isPresent();
  }

  /**
   * Returns the position from which the new primary continues.
   *
   * @return the position that it had received when it was fenced, or empty before the selection
   */
  public Optional<Position> takeoverPosition() {
    return target.flatMap(fenced::received);
  }

  private void enter(Phase next, long now) {
    phase = next;
    phaseSince = now;
    lastSentAt.clear();
  }
}
