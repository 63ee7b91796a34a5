package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.sardinebay.Clock;
import org.sardinebay.MemberId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.connection.Opening;
import org.sardinebay.gateway.internal.request.PlacementRequest;
import org.sardinebay.internal.connection.ConnectionOpening;
import org.sardinebay.internal.connection.IdleConnections;
import org.sardinebay.internal.request.DispatchPass;
import org.sardinebay.internal.request.Placement;
import org.sardinebay.internal.request.PlacementCandidate;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.internal.version.MemberView;
import org.sardinebay.internal.version.MembersPerformance;
import org.sardinebay.internal.version.ServiceView;

/**
 * Chooses the member whose idle connection runs a statement, and opens connections for statements
 * that find none. Where workspaces are in force, a statement needs a connection of its workspace.
 *
 * <pre>{@code
 * Optional<MemberId> member = chooser.choose(request, request.requirement());
 * if (member.isEmpty()) { chooser.onWaiting(request, giveUpAt); }
 * }</pre>
 */
final class ConnectionChooser {
  private final ServiceView view;
  private final Map<MemberId, MemberPool> pools;
  private final ToLongFunction<MemberView> roundTripMillis;
  private final StatusPoller statusPoller;
  private final MembersPerformance performance;
  private final LongSupplier serviceMillis;
  private final Clock clock;
  private final Map<PlacementRequest, Wait> waits = new HashMap<>();
  private final Map<Optional<WorkspaceId>, Integer> waitingByWorkspace = new HashMap<>();
  private Optional<Wait> starvedWait = Optional.empty();
  private boolean workspacesInForce;
  private long replaced;

  /** What is known of a statement that waits. */
  private static final class Wait {
    private final long since;
    private long giveUpAt = Long.MAX_VALUE;
    private Optional<Opening> opening = Optional.empty();
    private boolean lacksConnections;

    private Wait(long since) {
      this.since = since;
    }

    private boolean opens() {
      return opening.filter(Opening::inProgress).isPresent();
    }
  }

  /**
   * Creates a chooser.
   *
   * @param view what this host knows of the service
   * @param pools the connections to the members; a live map
   * @param roundTripMillis the round-trip time to a member, in milliseconds
   * @param statusPoller knows the members' load from other hosts
   * @param performance what is known of the members' speed and errors
   * @param serviceMillis the mean service time of the service's statements, in milliseconds
   * @param clock the clock
   */
  ConnectionChooser(
      ServiceView view,
      Map<MemberId, MemberPool> pools,
      ToLongFunction<MemberView> roundTripMillis,
      StatusPoller statusPoller,
      MembersPerformance performance,
      LongSupplier serviceMillis,
      Clock clock) {
    this.view = view;
    this.pools = pools;
    this.roundTripMillis = roundTripMillis;
    this.statusPoller = statusPoller;
    this.performance = performance;
    this.serviceMillis = serviceMillis;
    this.clock = clock;
  }

  /**
   * Chooses a member with an idle connection for a statement, and opens a connection if another
   * member is better. A statement that gets none is known from then on, until {@link #forget}.
   *
   * @param request the statement's request
   * @param requirement its requirement
   * @return the member, empty if the statement has to wait
   */
  Optional<MemberId> choose(PlacementRequest request, PlacementRequirement requirement) {
    workspacesInForce |= request.workspace().isPresent();
    long now = clock.millis();
    if (!workspacesInForce) {
      return chooseForHost(request, requirement, now);
    }
    Wait wait = waits.get(request);
    if (wait != null) {
      return chooseForWorkspace(request, requirement, wait, now);
    }
    Wait first = new Wait(now);
    Optional<MemberId> chosen = chooseForWorkspace(request, requirement, first, now);
    if (chosen.isEmpty()) {
      remember(request, first);
    }
    return chosen;
  }

  private void remember(PlacementRequest request, Wait wait) {
    waits.put(request, wait);
    waitingByWorkspace.merge(request.workspace(), 1, Integer::sum);
  }

  /** Records that a statement was queued, and until when it waits, in milliseconds. */
  void onWaiting(PlacementRequest request, long giveUpAt) {
    if (!waits.containsKey(request)) {
      remember(request, new Wait(clock.millis()));
    }
    waits.get(request).giveUpAt = giveUpAt;
  }

  /** Records that a statement does not wait any more. */
  void forget(PlacementRequest request) {
    if (waits.remove(request) != null) {
      waitingByWorkspace.computeIfPresent(
          request.workspace(), (workspace, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Chooses a member only if a suitable connection is idle. */
  Optional<MemberId> chooseIdle(PlacementRequest request, PlacementRequirement requirement) {
    return choose(
        request,
        requirement,
        clock.millis(),
        pool -> Access.free(pool.hasIdle(request.workspace())));
  }

  /** Whether a suitable connection is idle, is being opened for a statement, or may be opened. */
  boolean mayBePlaced(PlacementRequest request) {
    long now = clock.millis();
    Wait wait = waits.getOrDefault(request, new Wait(now));
    return choose(
            request,
            request.requirement(),
            now,
            pool ->
                workspacesInForce
                    ? access(pool, request, wait, now)
                    : Access.free(pool.hasIdle() || pool.mayOpen(1)))
        .isPresent();
  }

  /** Chooses a member with an idle connection, where all connections carry the host's name. */
  private Optional<MemberId> chooseForHost(
      PlacementRequest request, PlacementRequirement requirement, long now) {
    Optional<MemberId> best =
        choose(request, requirement, now, pool -> Access.free(pool.hasIdle() || pool.mayOpen(1)));
    if (best.isPresent() && !pools.get(best.get()).hasIdle()) {
      pools.get(best.get()).open();
      best = choose(request, requirement, now, pool -> Access.free(pool.hasIdle()));
    }
    return best;
  }

  /**
   * Chooses a member with an idle connection of the statement's workspace. If another member is
   * better, although a connection to it has to be opened, that is done and the statement waits.
   */
  private Optional<MemberId> chooseForWorkspace(
      PlacementRequest request, PlacementRequirement requirement, Wait wait, long now) {
    Optional<WorkspaceId> workspace = request.workspace();
    if (ConnectionOpening.takesAnyIdle(now - wait.since, serviceMillis.getAsLong())) {
      Optional<MemberId> idle =
          choose(request, requirement, now, pool -> Access.free(pool.hasIdle(workspace)));
      if (idle.isPresent()) {
        return idle;
      }
    }
    Optional<MemberId> best =
        choose(request, requirement, now, pool -> access(pool, request, wait, now));
    if (best.isEmpty()) {
      wait.lacksConnections = true;
      return best;
    }
    MemberPool pool = pools.get(best.get());
    if (pool.hasIdle(workspace)) {
      return best;
    }
    wait.lacksConnections = false;
    if (!wait.opens()) {
      open(pool, request, wait, now);
    }
    return Optional.empty();
  }

  private void open(MemberPool pool, PlacementRequest request, Wait wait, long now) {
    ConnectionOpening.Decision decision = decide(pool, request, wait, now);
    if (decision == ConnectionOpening.Decision.OPEN) {
      wait.opening = Optional.of(pool.open(request.workspace()));
    } else if (decision == ConnectionOpening.Decision.REPLACE) {
      replaced++;
      wait.opening = Optional.of(pool.replace(claim(pool, request, wait, now)));
    }
  }

  private Access access(MemberPool pool, PlacementRequest request, Wait wait, long now) {
    if (pool.hasIdle(request.workspace())) {
      return Access.free(true);
    }
    boolean available =
        wait.opens() || decide(pool, request, wait, now) != ConnectionOpening.Decision.NONE;
    return new Access(available, ConnectionOpening.costMillis(roundTripMillis(pool)));
  }

  private ConnectionOpening.Decision decide(
      MemberPool pool, PlacementRequest request, Wait wait, long now) {
    Optional<WorkspaceId> workspace = request.workspace();
    int ownWaiting = waits.containsKey(request) ? 1 : 0;
    int waitingBefore = waitingByWorkspace.getOrDefault(workspace, 0) - ownWaiting;
    return ConnectionOpening.decide(
        new ConnectionOpening.Demand(waitingBefore, now - wait.since, serviceMillis.getAsLong()),
        new ConnectionOpening.Supply(
            pool.serving(workspace),
            pool.mayOpen(maxOpening()),
            pool.mayReplace(claim(pool, request, wait, now), maxOpening()),
            ConnectionOpening.openMillis(roundTripMillis(pool))));
  }

  private IdleConnections.Claim claim(
      MemberPool pool, PlacementRequest request, Wait wait, long now) {
    return new IdleConnections.Claim(
        request.workspace(),
        waitingByWorkspace::containsKey,
        ConnectionOpening.starved(pool.serving(request.workspace()), now - wait.since));
  }

  private int maxOpening() {
    return workspacesInForce ? ConnectionOpening.MAX_OPENING : 1;
  }

  private long roundTripMillis(MemberPool pool) {
    return view.member(pool.entry().id()).map(roundTripMillis::applyAsLong).orElse(0L);
  }

  /** How a statement gets a connection to a member. */
  private record Access(boolean available, long openCostMillis) {
    private static Access free(boolean available) {
      return new Access(available, 0);
    }
  }

  private Optional<MemberId> choose(
      PlacementRequest request,
      PlacementRequirement requirement,
      long now,
      Function<MemberPool, Access> accessTo) {
    List<PlacementCandidate> candidates = new ArrayList<>();
    for (MemberView member : view.members()) {
      MemberPool pool = pools.get(member.id());
      boolean draining = member.entry().draining() && !isLeasedPrimary(member.id(), now);
      Access access = accessTo.apply(pool);
      candidates.add(
          new PlacementCandidate(
              member.id(),
              isLeasedPrimary(member.id(), now),
              access.available(),
              roundTripMillis.applyAsLong(member),
              access.openCostMillis(),
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
    return Placement.choose(requirement, candidates, serviceMillis.getAsLong());
  }

  private boolean isLeasedPrimary(MemberId member, long now) {
    return view.leasedPrimary(now).filter(m -> m.id().equals(member)).isPresent();
  }

  /** Opens a connection for a workspace that has none and waits for long, before all others. */
  void openForStarved() {
    boolean idle = pools.values().stream().anyMatch(MemberPool::hasIdle);
    if (!workspacesInForce || !idle || starvedWait.filter(Wait::opens).isPresent()) {
      return;
    }
    long now = clock.millis();
    waits.entrySet().stream()
        .filter(entry -> !entry.getValue().opens() && goesFirst(entry, now))
        .min(Comparator.comparingLong(entry -> entry.getValue().since))
        .ifPresent(
            entry -> {
              starvedWait = Optional.of(entry.getValue());
              chooseForWorkspace(
                  entry.getKey(), entry.getKey().requirement(), entry.getValue(), now);
            });
  }

  private boolean goesFirst(Map.Entry<PlacementRequest, Wait> waiter, long now) {
    PlacementRequest request = waiter.getKey();
    long waited = now - waiter.getValue().since;
    long remaining = waiter.getValue().giveUpAt - now;
    return ConnectionOpening.goesFirst(0, waited, remaining)
        && pools.values().stream().allMatch(pool -> pool.serving(request.workspace()) == 0);
  }

  /** Returns where a statement could be placed now. */
  DispatchPass.Capacity freeCapacity() {
    long now = clock.millis();
    boolean primary = false;
    boolean any = false;
    for (MemberView member : view.members()) {
      MemberPool pool = pools.get(member.id());
      if (!member.unreachable() && (pool.hasIdle() || pool.mayOpen(maxOpening()))) {
        any = true;
        primary |= isLeasedPrimary(member.id(), now);
      }
    }
    return new DispatchPass.Capacity(any, primary);
  }

  /** Returns how many idle connections were closed in favour of another workspace. */
  long replaced() {
    return replaced;
  }

  /**
   * Whether statements wait that neither an idle connection nor one being opened will serve, so
   * that a fresh status of the members may help: it may permit more connections.
   */
  boolean lacksConnections() {
    return workspacesInForce
        ? waits.values().stream().anyMatch(wait -> wait.lacksConnections)
        : !waits.isEmpty();
  }

  /**
   * Whether a statement of a workspace could be placed at once, or as soon as another connection is
   * open.
   */
  boolean hasCapacity(boolean primaryOnly, Optional<WorkspaceId> workspace) {
    long now = clock.millis();
    IdleConnections.Claim claim = new IdleConnections.Claim(workspace, other -> false, false);
    return waits.isEmpty()
        && view.members().stream()
            .filter(member -> !member.unreachable())
            .filter(member -> !primaryOnly || isLeasedPrimary(member.id(), now))
            .map(member -> pools.get(member.id()))
            .anyMatch(
                pool ->
                    pool.hasIdle(workspace)
                        || pool.mayOpen(maxOpening())
                        || pool.mayReplace(claim, maxOpening()));
  }
}
