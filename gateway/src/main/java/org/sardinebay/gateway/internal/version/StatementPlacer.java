package org.sardinebay.gateway.internal.version;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.MemberConnection;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.request.PlacementRequest;
import org.sardinebay.internal.request.DispatchPass;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.internal.request.StatementDemand;
import org.sardinebay.internal.request.StatementDurations;
import org.sardinebay.internal.request.StatementScheduler;
import org.sardinebay.internal.request.WaitEstimate;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.MembersPerformance;
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
  private final MembersPerformance performance;
  private final ConnectionChooser chooser;
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
   * @param performance what is known of the members' speed and errors
   * @param clock the clock
   */
  StatementPlacer(
      ServiceView view,
      Map<MemberId, MemberPool> pools,
      ToLongFunction<MemberView> roundTripMillis,
      StatusPoller statusPoller,
      MembersPerformance performance,
      Clock clock) {
    this.view = view;
    this.pools = pools;
    this.performance = performance;
    this.clock = clock;
    this.chooser =
        new ConnectionChooser(
            view,
            pools,
            roundTripMillis,
            statusPoller,
            performance,
            scheduler::meanWorkMillis,
            clock);
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
    chooser.onWaiting(request, demand.giveUpAt());
    WaitEstimate.Expected<PlacementRequest> expected =
        scheduler.add(request, demand, capacity(now), chooser::mayBePlaced, now);
    if (expected.inTime()) {
      request.onWaiting(expected.waitMillis());
    } else {
      chooser.forget(request);
      request.onRejected(expected, true);
    }
  }

  /** Places a statement only if a suitable connection is idle; returns whether it was placed. */
  boolean placeOnIdle(PlacementRequest request) {
    PlacementRequirement requirement = request.requirement();
    Optional<MemberId> member = chooser.chooseIdle(request, requirement);
    member.ifPresent(chosen -> assign(request, requirement, chosen));
    return member.isPresent();
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
    Optional<MemberId> member = chooser.choose(request, requirement);
    member.ifPresent(
        chosen -> {
          chooser.forget(request);
          assign(request, requirement, chosen);
        });
    return member.isPresent();
  }

  private void assign(PlacementRequest request, PlacementRequirement requirement, MemberId member) {
    long now = clock.millis();
    performance.onSent(member, now);
    MemberPool pool = pools.get(member);
    MemberConnection connection = pool.acquire(request.workspace(), request.values()).orElseThrow();
    request.onConnection(pool, connection, requirement, isLeasedPrimary(member, now));
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
      chooser.openForStarved();
      DispatchPass pass = new DispatchPass(chooser::freeCapacity);
      scheduler.dispatch(
          clock.millis(), request -> pass.test(request.primaryOnly(), () -> tryPlace(request)));
    } finally {
      dispatching = false;
    }
  }

  /**
   * Fails the statements that have waited too long or would, places others, and preempts an idle
   * transaction if statements wait for its connection.
   */
  void tick(long now) {
    if (scheduler.size() > 0) {
      expire(now);
      dispatchWaiting();
      scheduler.shed(capacity(now), chooser::mayBePlaced, now).forEach(this::reject);
    }
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

  private void reject(WaitEstimate.Expected<PlacementRequest> expected) {
    chooser.forget(expected.item());
    expected.item().onRejected(expected, false);
  }

  private void expire(long now) {
    List<PlacementRequest> expired = scheduler.expire(now);
    expired.forEach(chooser::forget);
    expired.forEach(PlacementRequest::onNotPlaced);
  }

  /** Fails all waiting statements. */
  void close() {
    expire(Long.MAX_VALUE);
  }

  /** Returns how many idle connections were closed in favour of another workspace. */
  long replaced() {
    return chooser.replaced();
  }

  /** Whether statements wait for which a fresh status of the members may permit connections. */
  boolean lacksConnections() {
    return chooser.lacksConnections();
  }

  /** Returns the number of statements that wait. */
  int waiting() {
    return scheduler.size();
  }

  /**
   * Whether a statement of a workspace could be placed at once, or as soon as another connection is
   * open.
   */
  boolean hasCapacity(boolean primaryOnly, Optional<WorkspaceId> workspace) {
    return scheduler.size() == 0 && chooser.hasCapacity(primaryOnly, workspace);
  }
}
