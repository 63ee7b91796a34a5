package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.MemberConnection;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.request.PlacementRequest;
import org.sardinebay.internal.request.DispatchPass;
import org.sardinebay.internal.request.Placement;
import org.sardinebay.internal.request.PlacementCandidate;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.internal.request.StatementDemand;
import org.sardinebay.internal.request.StatementDurations;
import org.sardinebay.internal.request.StatementScheduler;
import org.sardinebay.internal.request.WaitEstimate;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.SessionLimits;

/**
 * Places the statements of one service on connections to its members, and keeps those that have to
 * wait.
 *
 * <pre>{@code
 * placer.place(statement);
 * placer.tick(now);
 * }</pre>
 */
public final class StatementPlacer {
  private final ServiceView view;
  private final Map<MemberId, MemberPool> pools;
  private final ToLongFunction<MemberView> roundTripMillis;
  private final StatusPoller statusPoller;
  private final Clock clock;
  private final StatementScheduler<PlacementRequest> scheduler = new StatementScheduler<>();
  private final IdleTransactions transactions = new IdleTransactions();
  private long transactionIdleMillis = SessionLimits.DEFAULT.transactionIdleMillis();
  private boolean dispatching;

  /**
   * Creates a placer without waiting statements.
   *
   * @param view what this host knows of the service
   * @param pools the connections to the members; a live map
   * @param roundTripMillis the round-trip time to a member, in milliseconds
   * @param statusPoller knows the members' load from other hosts
   * @param clock the clock
   */
  StatementPlacer(
      ServiceView view,
      Map<MemberId, MemberPool> pools,
      ToLongFunction<MemberView> roundTripMillis,
      StatusPoller statusPoller,
      Clock clock) {
    this.view = view;
    this.pools = pools;
    this.roundTripMillis = roundTripMillis;
    this.statusPoller = statusPoller;
    this.clock = clock;
  }

  /** Applies the workspaces and the limits of a configuration. */
  void configure(RouteTable table) {
    scheduler.workspaces(table.workspaces());
    transactionIdleMillis = table.limits().transactionIdleMillis();
  }

  /**
   * Returns the observed durations of the service's statements.
   *
   * @return the durations, to be updated with each statement
   */
  public StatementDurations durations() {
    return scheduler.durations();
  }

  /**
   * Returns the transactions that hold connections of this host.
   *
   * @return the transactions, to be updated when one begins at a member
   */
  public IdleTransactions transactions() {
    return transactions;
  }

  /**
   * Places a statement on a connection, at once or as soon as a suitable one becomes idle. If none
   * does before its deadline, {@link PlacementRequest#onNotPlaced} is called. If none is expected
   * to and workspaces are in force, {@link PlacementRequest#onRejected} is called.
   *
   * @param request the statement's request
   */
  void place(PlacementRequest request) {
    if (tryPlace(request)) {
      return;
    }
    long now = clock.millis();
    StatementDemand demand = request.demand(scheduler.workMillis(request.kind()));
    WaitEstimate.Expected<PlacementRequest> expected =
        scheduler.add(request, demand, capacity(now), this::mayBePlaced, now);
    if (expected.inTime()) {
      request.onWaiting(expected.waitMillis());
    } else {
      request.onRejected(expected, true);
    }
  }

  private boolean mayBePlaced(PlacementRequest request) {
    return choose(request, request.requirement(), clock.millis(), false).isPresent();
  }

  private WaitEstimate.Capacity capacity(long now) {
    int primary = 0;
    int replicas = 0;
    for (MemberView member : view.members()) {
      if (isLeasedPrimary(member.id(), now)) {
        primary += pools.get(member.id()).working();
      } else if (!member.unreachable() && !member.entry().draining()) {
        replicas += pools.get(member.id()).working();
      }
    }
    return new WaitEstimate.Capacity(primary, replicas, scheduler.durations().meanMillis());
  }

  private boolean tryPlace(PlacementRequest request) {
    PlacementRequirement requirement = request.requirement();
    long now = clock.millis();
    Optional<MemberId> best = choose(request, requirement, now, false);
    if (best.isPresent() && !pools.get(best.get()).hasIdle()) {
      pools.get(best.get()).open();
      best = choose(request, requirement, now, true);
    }
    if (best.isEmpty()) {
      return false;
    }
    MemberPool pool = pools.get(best.get());
    MemberConnection connection = pool.acquire(request.values()).orElseThrow();
    request.onConnection(pool, connection, requirement, isLeasedPrimary(best.get(), now));
    return true;
  }

  private Optional<MemberId> choose(
      PlacementRequest request, PlacementRequirement requirement, long now, boolean idleOnly) {
    List<PlacementCandidate> candidates = new ArrayList<>();
    for (MemberView member : view.members()) {
      MemberPool pool = pools.get(member.id());
      boolean draining = member.entry().draining() && !isLeasedPrimary(member.id(), now);
      candidates.add(
          new PlacementCandidate(
              member.id(),
              isLeasedPrimary(member.id(), now),
              pool.hasIdle() || (!idleOnly && pool.mayOpen()),
              roundTripMillis.applyAsLong(member),
              statusPoller.slotsBusyElsewhere(member.id()) + pool.inUse(),
              member.entry().slots(),
              member.applied(),
              member.lagging(now),
              draining || member.unreachable() || request.excluded().contains(member.id())));
    }
    return Placement.choose(requirement, candidates);
  }

  private boolean isLeasedPrimary(MemberId member, long now) {
    return view.leasedPrimary(now).filter(m -> m.id().equals(member)).isPresent();
  }

  /** Places waiting statements in order, as far as connections are available. */
  void dispatchWaiting() {
    if (dispatching || scheduler.size() == 0) {
      return;
    }
    dispatching = true;
    try {
      DispatchPass pass = new DispatchPass(this::freeCapacity);
      scheduler.dispatch(
          clock.millis(), request -> pass.test(request.primaryOnly(), () -> tryPlace(request)));
    } finally {
      dispatching = false;
    }
  }

  private DispatchPass.Capacity freeCapacity() {
    long now = clock.millis();
    boolean primary = false;
    boolean any = false;
    for (MemberView member : view.members()) {
      MemberPool pool = pools.get(member.id());
      if (!member.unreachable() && (pool.hasIdle() || pool.mayOpen())) {
        any = true;
        primary |= isLeasedPrimary(member.id(), now);
      }
    }
    return new DispatchPass.Capacity(any, primary);
  }

  /**
   * Fails the statements that have waited too long or would, places others, and preempts an idle
   * transaction if statements wait for its connection.
   */
  void tick(long now) {
    scheduler.expire(now).forEach(PlacementRequest::onNotPlaced);
    dispatchWaiting();
    scheduler
        .shed(capacity(now), this::mayBePlaced, now)
        .forEach(expected -> expected.item().onRejected(expected, false));
    transactions.tick(now, transactionIdleMillis, awaited(now));
  }

  /** The members whose connections statements wait for; none without workspaces. */
  private Set<MemberId> awaited(long now) {
    return scheduler.fair() && scheduler.size() > 0
        ? view.members().stream()
            .map(MemberView::id)
            .filter(member -> awaited(member, isLeasedPrimary(member, now)))
            .collect(Collectors.toSet())
        : Set.of();
  }

  private boolean awaited(MemberId member, boolean primary) {
    return scheduler.anyWaits(
        request -> !request.excluded().contains(member) && (primary || !request.primaryOnly()));
  }

  /** Fails all waiting statements. */
  void close() {
    scheduler.expire(Long.MAX_VALUE).forEach(PlacementRequest::onNotPlaced);
  }

  /** Returns the number of statements that wait. */
  int waiting() {
    return scheduler.size();
  }

  /** Whether a statement could be placed at once, or as soon as another connection is open. */
  boolean hasCapacity(boolean primaryOnly) {
    long now = clock.millis();
    return scheduler.size() == 0
        && view.members().stream()
            .filter(member -> !member.unreachable())
            .filter(member -> !primaryOnly || isLeasedPrimary(member.id(), now))
            .map(member -> pools.get(member.id()))
            .anyMatch(pool -> pool.hasIdle() || pool.mayOpen());
  }
}
