package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Estimates how long statements wait for a connection, and finds those that cannot be placed in
 * time. Covers load beyond the capacity: a statement that would wait in vain is rejected while its
 * caller can still do something else.
 *
 * <pre>{@code
 * WaitEstimate estimate = new WaitEstimate(capacity);
 * estimate.walk(queue.inOrder(now), now);
 * }</pre>
 */
public final class WaitEstimate {
  private final Capacity capacity;

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
   */
  public WaitEstimate(Capacity capacity) {
    this.capacity = capacity;
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
    Ahead ahead = new Ahead(0, 0);
    for (WaitingStatements.Waiting<T> waiting : order) {
      StatementDemand demand = waiting.demand();
      OptionalLong wait = waitMillis(demand.primaryOnly(), ahead);
      boolean inTime = wait.isEmpty() || now + wait.getAsLong() <= demand.giveUpAt();
      Ahead including = ahead.plus(demand);
      long drain = waitMillis(demand.primaryOnly(), including).orElse(0);
      result.add(new Expected<>(waiting.item(), wait, drain, inTime));
      if (inTime) {
        ahead = including;
      }
    }
    return result;
  }

  /**
   * Returns the time until the work ahead is done and a connection is free. A statement that any
   * member can run gets the shorter of two bounds: the replicas do the work that is not tied to the
   * primary, or all members share all work.
   */
  private OptionalLong waitMillis(boolean primaryOnly, Ahead ahead) {
    if (capacity.meanMillis.isEmpty()) {
      return OptionalLong.empty();
    }
    if (primaryOnly) {
      return shared(ahead.primaryOnly, capacity.primaryConnections);
    }
    OptionalLong onReplicas = shared(ahead.other, capacity.replicaConnections);
    OptionalLong onAll =
        shared(
            ahead.primaryOnly + ahead.other,
            capacity.primaryConnections + capacity.replicaConnections);
    return onReplicas.isEmpty() || onAll.isEmpty()
        ? onAll
        : OptionalLong.of(Math.min(onReplicas.getAsLong(), onAll.getAsLong()));
  }

  /** One statement per connection is in progress; one of them ends after mean / connections. */
  private OptionalLong shared(double workMillis, int connections) {
    return connections == 0
        ? OptionalLong.empty()
        : OptionalLong.of(
            Math.round((workMillis + capacity.meanMillis.getAsDouble()) / connections));
  }
}
