package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;
import org.sardinebay.session.PromotionCall;

/**
 * One change of a service's primary, as its driver carries it out: fence every other member at the
 * next term, wait until no host can rely on the old primary any more, order the member that
 * received most to lead, and see that it does. Holds no timer and no connection: it is asked on
 * each tick what to do next.
 *
 * <pre>{@code
 * for (PrimaryChange.Step step : change.next(view, now)) { ... }
 * change.onStatus(member, status, now);
 * }</pre>
 */
public final class PrimaryChange {
  /** How often a step without a result is repeated, in milliseconds. */
  private static final long REPEAT_MILLIS = 150;

  /**
   * How long the fence may take, in milliseconds, before the change is handed to a driver
   * elsewhere: this host may be the only one that can't reach a member. Above the time in which the
   * entry of a member that has ended lapses.
   */
  private static final long FENCE_MILLIS = 5_500;

  /**
   * For how long an order of an earlier driver may still take effect, in milliseconds: above the
   * longest promotion known, of one second.
   */
  private static final long EARLIER_ORDER_MILLIS = 2_500;

  /** How long a demoted primary's last commits take to reach the replicas, in milliseconds. */
  private static final long DELIVERY_MILLIS = 80;

  /** How long an ordered member may take to lead, in milliseconds. */
  private static final long TAKEOVER_MILLIS = 4_000;

  /** What is to be done. */
  public sealed interface Step {
    /**
     * Make the leaving primary a replica, so that it acknowledges nothing more.
     *
     * @param member the primary
     * @param term the next term
     */
    record Demote(MemberId member, long term) implements Step {}

    /**
     * Stop a replica from receiving.
     *
     * @param member the replica
     * @param term the next term
     */
    record Fence(MemberId member, long term) implements Step {}

    /**
     * Let a replica receive again: the change is given up, or done.
     *
     * @param member the replica
     */
    record Unfence(MemberId member) implements Step {}

    /**
     * Order a member to lead.
     *
     * @param member the member
     */
    record Order(MemberId member) implements Step {}

    /**
     * Ask a member for its status.
     *
     * @param member the member
     */
    record Look(MemberId member) implements Step {}
  }

  /** Where the change stands. */
  public enum Phase {
    /** The leaving primary is made a replica. */
    DEMOTING,
    /** The other members are fenced. */
    FENCING,
    /** Leases on the old primary run out. */
    WAITING,
    /** The order is given. */
    ORDERING,
    /** The new primary takes over. */
    TAKING_OVER,
    /** The new primary leads. */
    DONE,
    /** The change was given up: the old primary serves. */
    GIVEN_UP
  }

  private final MemberId oldPrimary;
  private final boolean planned;
  private final long nextTerm;
  private final Map<MemberId, MemberStatus> fenced = new HashMap<>();
  private final Map<MemberId, Long> fencedAt = new HashMap<>();
  private final Map<MemberId, Long> askedAt = new HashMap<>();
  private final Set<MemberId> notRunning = new HashSet<>();
  private final boolean inherited;
  private final long startedAt;
  private Phase phase;
  private long phaseSince;
  private Optional<MemberId> target = Optional.empty();
  private boolean orderPending;
  private boolean mayTakeEffect;

  /**
   * A change that begins.
   *
   * @param oldPrimary the primary to replace; any id that no member has if none is known
   * @param planned whether the old primary is leaving and in reach
   * @param inherited whether members are fenced already: an earlier driver may have given its order
   * @param nextTerm the term of the new primary
   * @param now the time
   */
  public PrimaryChange(
      MemberId oldPrimary, boolean planned, boolean inherited, long nextTerm, long now) {
    this.oldPrimary = oldPrimary;
    this.planned = planned;
    this.inherited = inherited;
    this.nextTerm = nextTerm;
    this.startedAt = now;
    this.phase = planned ? Phase.DEMOTING : Phase.FENCING;
    this.phaseSince = now;
  }

  /**
   * Where the change stands.
   *
   * @return the phase
   */
  public Phase phase() {
    return phase;
  }

  /**
   * How long it takes until the order can be given.
   *
   * @param now the time
   * @return milliseconds, 0 when it is due; more than the wait for leases before that has begun
   */
  public long orderDueInMillis(long now) {
    return switch (phase) {
      case DEMOTING, FENCING -> Long.MAX_VALUE;
      case WAITING -> Math.max(0, phaseSince + leaseWaitMillis() - now);
      default -> 0;
    };
  }

  /**
   * The member that is to lead.
   *
   * @return the member, empty before it is chosen
   */
  public Optional<MemberId> target() {
    return target;
  }

  /**
   * The term of the new primary.
   *
   * @return the term
   */
  public long nextTerm() {
    return nextTerm;
  }

  /**
   * What to do now.
   *
   * @param view what is known of the service
   * @param now the time
   * @return the steps
   */
  public List<Step> next(ServiceView view, long now) {
    List<Step> steps = new ArrayList<>();
    if (phase == Phase.DEMOTING) {
      demote(view, now, steps);
    }
    if (phase == Phase.FENCING || phase == Phase.WAITING) {
      fence(view, now, steps);
    }
    if (phase == Phase.WAITING && now - phaseSince >= leaseWaitMillis()) {
      enter(Phase.ORDERING, now);
    }
    if (phase == Phase.ORDERING && !orderPending) {
      order(view, now, steps);
    }
    if (phase == Phase.TAKING_OVER) {
      watchTakeover(view, now, steps);
    }
    return steps;
  }

  private static long leaseWaitMillis() {
    return PrimaryLease.DURATION_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;
  }

  private void demote(ServiceView view, long now, List<Step> steps) {
    boolean gone = view.member(oldPrimary).filter(m -> !m.failing()).isEmpty();
    boolean demoted =
        view.member(oldPrimary)
            .flatMap(MemberView::status)
            .filter(s -> s.role() == MemberRole.REPLICA)
            .isPresent();
    if (gone || (demoted && now - phaseSince >= DELIVERY_MILLIS)) {
      enter(Phase.FENCING, now);
    } else if (!demoted && due(oldPrimary, now)) {
      phaseSince = now;
      steps.add(new Step.Demote(oldPrimary, nextTerm));
    }
  }

  private void fence(ServiceView view, long now, List<Step> steps) {
    boolean complete = true;
    for (MemberView member : view.members()) {
      MemberId id = member.id();
      if (restarted(member)) {
        fenced.remove(id);
      }
      if (id.equals(oldPrimary) || fenced.containsKey(id)) {
        continue;
      }
      if (member.failing() && !member.unaccounted()) {
        continue;
      }
      complete = false;
      if (due(id, now)) {
        steps.add(new Step.Fence(id, nextTerm));
      }
    }
    if (!complete && phase == Phase.WAITING) {
      enter(Phase.FENCING, now);
    } else if (complete && !fenced.isEmpty() && phase == Phase.FENCING) {
      enter(Phase.WAITING, now);
    }
  }

  /** A fence ends with the member's process. */
  private boolean restarted(MemberView member) {
    long asked = member.statusAskedAt().orElse(Long.MIN_VALUE);
    return asked > fencedAt.getOrDefault(member.id(), Long.MAX_VALUE)
        && member.status().filter(s -> s.fenceTerm() < nextTerm && s.term() < nextTerm).isPresent();
  }

  /**
   * Whether the fence fails for a member that this host can't reach although nothing says that it
   * has ended: other hosts may reach it, and go on by its confirmations.
   *
   * @param view what is known of the service
   * @param now the time
   * @return true if another host should drive the change
   */
  public boolean stuck(ServiceView view, long now) {
    return phase == Phase.FENCING
        && now - phaseSince >= FENCE_MILLIS
        && view.members().stream().anyMatch(m -> !m.id().equals(oldPrimary) && m.unaccounted());
  }

  private void order(ServiceView view, long now, List<Step> steps) {
    target = mostAdvanced(view);
    if (target.isEmpty() && mayTakeEffect) {
      return;
    }
    if (target.isEmpty()) {
      steps.addAll(giveUp(view, now));
      return;
    }
    if (due(target.get(), now)) {
      orderPending = true;
      steps.add(new Step.Order(target.get()));
    }
  }

  private Optional<MemberId> mostAdvanced(ServiceView view) {
    Comparator<Map.Entry<MemberId, MemberStatus>> byReceived =
        Comparator.comparing(entry -> entry.getValue().received());
    return fenced.entrySet().stream()
        .filter(entry -> !notRunning.contains(entry.getKey()))
        .filter(entry -> view.member(entry.getKey()).filter(PrimaryChange::usable).isPresent())
        .max(byReceived.thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey);
  }

  private static boolean usable(MemberView member) {
    return !member.failing() && !member.entry().draining();
  }

  private void watchTakeover(ServiceView view, long now, List<Step> steps) {
    MemberId id = target.orElseThrow();
    if (view.primary().filter(m -> m.id().equals(id)).isPresent() && view.term() >= nextTerm) {
      enter(Phase.DONE, now);
    } else if (now - phaseSince >= TAKEOVER_MILLIS) {
      enter(Phase.ORDERING, now);
    } else if (due(id, now)) {
      steps.add(new Step.Look(id));
    }
  }

  private boolean due(MemberId id, long now) {
    if (now - askedAt.getOrDefault(id, Long.MIN_VALUE / 2) < REPEAT_MILLIS) {
      return false;
    }
    askedAt.put(id, now);
    return true;
  }

  /**
   * Takes over the answer to a fence.
   *
   * @param member the member
   * @param status what it said
   * @param now the time
   */
  public void onFenced(MemberId member, MemberStatus status, long now) {
    if (status.fenceTerm() >= nextTerm || status.term() >= nextTerm) {
      fenced.put(member, status);
      fencedAt.put(member, now);
    }
  }

  /**
   * Takes over what the order came to.
   *
   * @param outcome the outcome
   * @param now the time
   */
  public void onOrdered(PromotionCall.Outcome outcome, long now) {
    orderPending = false;
    if (outcome == PromotionCall.Outcome.MEMBER_DOWN) {
      target.ifPresent(notRunning::add);
    } else if (outcome != PromotionCall.Outcome.REFUSED) {
      mayTakeEffect = true;
      enter(Phase.TAKING_OVER, now);
    }
  }

  /**
   * Gives the change up before its order, and says which members to let go: those that this change
   * fenced, and those that an earlier driver left behind.
   *
   * @param view what is known of the service
   * @param now the time
   * @return one step for each fenced member; empty, and nothing given up, while an order may take
   *     effect
   */
  public List<Step> giveUp(ServiceView view, long now) {
    boolean earlierOrder = inherited && now - startedAt < EARLIER_ORDER_MILLIS;
    if (phase == Phase.DONE || orderPending || mayTakeEffect || earlierOrder) {
      return List.of();
    }
    enter(Phase.GIVEN_UP, now);
    return view.members().stream()
        .filter(m -> fenced.containsKey(m.id()) || fencedAbove(m, view.term()))
        .<Step>map(m -> new Step.Unfence(m.id()))
        .toList();
  }

  private static boolean fencedAbove(MemberView member, long term) {
    return member.status().filter(status -> status.fenceTerm() > term).isPresent();
  }

  /**
   * Whether the old primary could still go on: the change was caused by its silence, and no order
   * was given.
   *
   * @return true if the change may be given up
   */
  public boolean revocable() {
    return !planned && (phase == Phase.FENCING || phase == Phase.WAITING);
  }

  /**
   * The position from which the new primary goes on.
   *
   * @return what it had received when it was fenced, empty before it is chosen
   */
  public Optional<Position> takeoverPosition() {
    return target.map(fenced::get).map(MemberStatus::received);
  }

  private void enter(Phase next, long now) {
    phase = next;
    phaseSince = now;
    askedAt.clear();
  }
}
