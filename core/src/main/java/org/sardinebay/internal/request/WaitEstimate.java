package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Estimates how long statements wait for a connection, and finds those that cannot be placed in
 * time. Covers load beyond the capacity: a statement that would wait in vain is rejected while its
 * caller can still do something else.
 *
 * <pre>{@code
 * WaitEstimate estimate = new WaitEstimate(capacity, arriving);
 * estimate.walk(queue.inOrder(now), now);
 * }</pre>
 */
public final class WaitEstimate {
  /** The share of the connections that is counted on whatever the higher priorities need. */
  private static final double MIN_CAPACITY_SHARE = 0.1;

  private final Capacity capacity;
  private final ArrivingWork arriving;

  /**
   * What serves the waiting statements.
   *
   * @param primaryConnections connections to the primary that run or can run statements
   * @param replicaConnections connections to the other members that run or can run statements
   * @param meanMillis how long statements occupy a connection on average, in milliseconds; empty
   *     without samples
   */
  public record Capacity(
      int primaryConnections, int replicaConnections, OptionalDouble meanMillis) {}

  /**
   * The expected wait of one statement.
   *
   * @param item the statement
   * @param waitMillis the time until it is placed, in milliseconds; empty if there is no basis for
   *     an estimate
   * @param drainMillis the time until the work ahead of it and its own has been done, in
   *     milliseconds; 0 if there is no basis for an estimate
   * @param inTime whether it can be placed before its latest time; true without an estimate
   * @param <T> the type of the statements
   */
  public record Expected<T>(T item, OptionalLong waitMillis, long drainMillis, boolean inTime) {}

  /**
   * Creates an estimate for the current capacity.
   *
   * @param capacity what serves the statements
   * @param arriving the work that arrives for each priority
   */
  public WaitEstimate(Capacity capacity, ArrivingWork arriving) {
    this.capacity = capacity;
    this.arriving = arriving;
  }

  /** The work, in milliseconds, ahead of a statement. */
  private record Ahead(double primaryOnly, double other) {
    private Ahead plus(StatementDemand demand) {
      return demand.primaryOnly()
          ? new Ahead(primaryOnly + demand.workMillis(), other)
          : new Ahead(primaryOnly, other + demand.workMillis());
    }
  }

  /**
   * Estimates the waits of all statements. The work of a statement that cannot be placed in time
   * does not count for those behind it.
   *
   * @param order the waiting statements in the order in which they are placed
   * @param now the current time in milliseconds
   * @param <T> the type of the statements
   * @return the expected waits in the same order
   */
  public <T> List<Expected<T>> walk(List<WaitingStatements.Waiting<T>> order, long now) {
    List<Expected<T>> result = new ArrayList<>(order.size());
    Map<Integer, Double> aheadInPriority = new HashMap<>();
    Ahead ahead = new Ahead(0, 0);
    for (WaitingStatements.Waiting<T> waiting : order) {
      StatementDemand demand = waiting.demand();
      double inPriority = aheadInPriority.getOrDefault(demand.priority(), 0.0);
      OptionalLong wait = waitMillis(demand, ahead, now);
      if (wait.isPresent()
          && aheadInPriority.keySet().stream().anyMatch(p -> p < demand.priority())) {
        wait = OptionalLong.of(Math.min(wait.getAsLong(), overtaking(demand, inPriority, now)));
      }
      boolean inTime = wait.isEmpty() || now + wait.getAsLong() <= demand.giveUpAt();
      Ahead including = ahead.plus(demand);
      long drain = waitMillis(demand, including, now).orElse(0);
      result.add(new Expected<>(waiting.item(), wait, drain, inTime));
      if (inTime) {
        ahead = including;
        aheadInPriority.put(demand.priority(), inPriority + demand.workMillis());
      }
    }
    return result;
  }

  /** Returns the wait if the statement is placed in the share that overtakes higher priorities. */
  private long overtaking(StatementDemand demand, double aheadInPriority, long now) {
    double connections =
        demand.primaryOnly()
            ? capacity.primaryConnections
            : (double) capacity.primaryConnections + capacity.replicaConnections;
    long untilAllowed = Math.max(0, demand.halfWaitedAt() - now);
    double share = connections * FairStatementQueue.OVERTAKING_SHARE;
    double untilFree = capacity.meanMillis.orElseThrow() / connections;
    return untilAllowed + Math.round(untilFree + aheadInPriority / share);
  }

  /**
   * Returns the time until the work ahead is done and a connection is free. A statement that any
   * member can run gets the shorter of two bounds: the replicas do the work that is not tied to the
   * primary, or all members share all work.
   */
  private OptionalLong waitMillis(StatementDemand demand, Ahead ahead, long now) {
    if (capacity.meanMillis.isEmpty()) {
      return OptionalLong.empty();
    }
    int priority = demand.priority();
    double atPrimary = arriving.connectionsNeededAbove(priority, true, now);
    if (demand.primaryOnly()) {
      return shared(ahead.primaryOnly, capacity.primaryConnections, atPrimary);
    }
    double anywhere = arriving.connectionsNeededAbove(priority, false, now);
    OptionalLong onReplicas = shared(ahead.other, capacity.replicaConnections, anywhere);
    OptionalLong onAll =
        shared(
            ahead.primaryOnly + ahead.other,
            capacity.primaryConnections + capacity.replicaConnections,
            atPrimary + anywhere);
    return onReplicas.isEmpty() || onAll.isEmpty()
        ? onAll
        : OptionalLong.of(Math.min(onReplicas.getAsLong(), onAll.getAsLong()));
  }

  /** One statement per connection is in progress; one of them ends after mean / connections. */
  private OptionalLong shared(double workMillis, int connections, double neededByOthers) {
    if (connections == 0) {
      return OptionalLong.empty();
    }
    double left = Math.max(connections * MIN_CAPACITY_SHARE, connections - neededByOthers);
    return OptionalLong.of(Math.round((workMillis + capacity.meanMillis.getAsDouble()) / left));
  }
}
