package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.MemberConnection;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.request.PlacementRequest;
import org.sardinebay.internal.request.DispatchPass;
import org.sardinebay.internal.request.Placement;
import org.sardinebay.internal.request.PlacementCandidate;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.internal.request.StatementQueue;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.MembersPerformance;
import org.sardinebay.internal.version.ServiceView;

/**
 * Places the statements of one service on connections to its members, and keeps those that have to
 * wait.
 *
 * <pre>{@code
 * placer.place(statement);
 * placer.tick(now);
 * }</pre>
 */
final class StatementPlacer {
  private final ServiceView view;
  private final Map<MemberId, MemberPool> pools;
  private final ToLongFunction<MemberView> roundTripMillis;
  private final StatusPoller statusPoller;
  private final MembersPerformance performance;
  private final Clock clock;
  private final StatementQueue<PlacementRequest> waiting = new StatementQueue<>();
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
    this.roundTripMillis = roundTripMillis;
    this.statusPoller = statusPoller;
    this.performance = performance;
    this.clock = clock;
  }

  /**
   * Places a statement on a connection, at once or as soon as a suitable one becomes idle. If none
   * does before its deadline, {@link PlacementRequest#onNotPlaced} is called.
   *
   * @param request the statement's request
   */
  void place(PlacementRequest request) {
    if (!tryPlace(request)) {
      waiting.add(request, request.priority(), request.placementDeadline());
    }
  }

  /** Places a statement only if a suitable connection is idle; returns whether it was placed. */
  boolean placeOnIdle(PlacementRequest request) {
    PlacementRequirement requirement = request.requirement();
    Optional<MemberId> best = choose(request, requirement, clock.millis(), true);
    best.ifPresent(member -> assign(request, requirement, member));
    return best.isPresent();
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
    assign(request, requirement, best.get());
    return true;
  }

  private void assign(PlacementRequest request, PlacementRequirement requirement, MemberId member) {
    long now = clock.millis();
    performance.onSent(member, now);
    MemberPool pool = pools.get(member);
    MemberConnection connection = pool.acquire(request.values()).orElseThrow();
    request.onConnection(pool, connection, requirement, isLeasedPrimary(member, now));
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
              performance.excessMillis(member.id(), request.statementClass(), now),
              draining
                  || member.unreachable()
                  || performance.setAside(member.id(), now)
                  || request.excluded().contains(member.id())));
    }
    return Placement.choose(requirement, candidates);
  }

  private boolean isLeasedPrimary(MemberId member, long now) {
    return view.leasedPrimary(now).filter(m -> m.id().equals(member)).isPresent();
  }

  /** Places waiting statements in order, as far as connections are available. */
  void dispatchWaiting() {
    if (dispatching || waiting.size() == 0) {
      return;
    }
    dispatching = true;
    try {
      DispatchPass pass = new DispatchPass(this::freeCapacity);
      waiting.dispatch(request -> pass.test(request.primaryOnly(), () -> tryPlace(request)));
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

  /** Fails the statements that have waited too long, and places others. */
  void tick(long now) {
    waiting.expire(now).forEach(PlacementRequest::onNotPlaced);
    dispatchWaiting();
  }

  /** Fails all waiting statements. */
  void close() {
    waiting.expire(Long.MAX_VALUE).forEach(PlacementRequest::onNotPlaced);
  }

  /** Returns the number of statements that wait. */
  int waiting() {
    return waiting.size();
  }

  /** Whether a statement could be placed at once, or as soon as another connection is open. */
  boolean hasCapacity(boolean primaryOnly) {
    long now = clock.millis();
    return waiting.size() == 0
        && view.members().stream()
            .filter(member -> !member.unreachable())
            .filter(member -> !primaryOnly || isLeasedPrimary(member.id(), now))
            .map(member -> pools.get(member.id()))
            .anyMatch(pool -> pool.hasIdle() || pool.mayOpen());
  }
}
