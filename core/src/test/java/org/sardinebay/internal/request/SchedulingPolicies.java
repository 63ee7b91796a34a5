package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.sardinebay.internal.request.ArrivalLoop.Arrival;
import org.sardinebay.session.Workspaces;

/** The scheduler in use, and the orders that it is compared with. */
final class SchedulingPolicies {
  /** The wait above which CoDel-like shedding starts, and for how long it must have lasted. */
  private static final long SHED_BOUND_MILLIS = 50;

  private static final long SHED_INTERVAL_MILLIS = 100;

  private SchedulingPolicies() {}

  static ArrivalLoop.Policy inUse(Workspaces workspaces) {
    StatementScheduler<Arrival> scheduler = new StatementScheduler<>();
    scheduler.workspaces(Optional.of(workspaces));
    return new ArrivalLoop.Policy() {
      @Override
      public boolean add(Arrival arrival, long now) {
        return scheduler
            .add(arrival, arrival.demand(), ArrivalLoop.capacity(), any -> false, now)
            .inTime();
      }

      @Override
      public List<Arrival> removeHopeless(long now) {
        List<Arrival> removed = new ArrayList<>(scheduler.expire(now));
        scheduler
            .shed(ArrivalLoop.capacity(), any -> false, now)
            .forEach(expected -> removed.add(expected.item()));
        return removed;
      }

      @Override
      public void dispatch(long now, Predicate<Arrival> place) {
        scheduler.dispatch(now, place);
      }
    };
  }

  /** The queue of deployments without workspaces: priority, then deadline. */
  static ArrivalLoop.Policy strictPriority() {
    return ordered(new StatementQueue<>(), 1, a -> a.demand().giveUpAt(), false);
  }

  /** Fair over the workspaces by work, regardless of priority. */
  static ArrivalLoop.Policy weightedFair(Workspaces workspaces) {
    FairStatementQueue<Arrival> queue =
        new FairStatementQueue<>(id -> WorkspaceWeights.of(workspaces, id));
    return ordered(queue, 0, a -> a.demand().giveUpAt(), false);
  }

  static ArrivalLoop.Policy earliestDeadline() {
    return ordered(new StatementQueue<>(), 0, a -> a.demand().targetAt(), false);
  }

  static ArrivalLoop.Policy leastSlack() {
    return ordered(new StatementQueue<>(), 0, a -> a.demand().latestStartInTarget(), false);
  }

  /** First in, first out; sheds while the wait has stayed above its bound for an interval. */
  static ArrivalLoop.Policy codel() {
    return ordered(new StatementQueue<>(), 0, Arrival::at, true);
  }

  /** A queue ordered by a key, with or without the priorities, without early rejection. */
  private static ArrivalLoop.Policy ordered(
      WaitingStatements<Arrival> queue,
      int priorities,
      ToLongFunction<Arrival> key,
      boolean sheds) {
    return new ArrivalLoop.Policy() {
      private long belowBoundAt;

      @Override
      public boolean add(Arrival arrival, long now) {
        StatementDemand d = arrival.demand();
        int priority = d.priority() * priorities;
        long at = key.applyAsLong(arrival);
        queue.add(
            arrival,
            new StatementDemand(
                d.workspace(), priority, d.workMillis(), false, d.arrivedAt(), d.targetAt(), at));
        return true;
      }

      @Override
      public List<Arrival> removeHopeless(long now) {
        List<Arrival> order =
            queue.inOrder(now).stream().map(WaitingStatements.Waiting::item).toList();
        if (!sheds || order.isEmpty() || now - order.get(0).at() < SHED_BOUND_MILLIS) {
          belowBoundAt = now;
        }
        boolean shedding = now - belowBoundAt >= SHED_INTERVAL_MILLIS;
        List<Arrival> removed =
            order.stream()
                .filter(
                    a ->
                        a.demand().giveUpAt() <= now
                            || (shedding && now - a.at() >= SHED_BOUND_MILLIS))
                .toList();
        removed.forEach(queue::remove);
        return removed;
      }

      @Override
      public void dispatch(long now, Predicate<Arrival> place) {
        queue.dispatch(now, place);
      }
    };
  }
}
