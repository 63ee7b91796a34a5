package org.sardinebay.internal.request;

import java.util.HashMap;
import java.util.Map;

/**
 * How much work arrives for each priority, as an exponentially decaying mean. A waiting statement
 * is overtaken by the higher priorities that arrive after it, so it waits for longer than the work
 * ahead of it takes.
 *
 * <pre>{@code
 * arriving.arrived(demand, now);
 * double connections = arriving.connectionsNeededAbove(priority, primaryOnly, now);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class ArrivingWork {
  /** The time constant of the mean, in milliseconds: about the time that statements may wait. */
  private static final double MEMORY_MILLIS = 500;

  private final Map<Source, Decaying> sources = new HashMap<>();

  private record Source(int priority, boolean primaryOnly) {}

  /** A sum of work, in milliseconds, as of a time. */
  private record Decaying(double workMillis, long at) {
    private double value(long now) {
      return workMillis * Math.exp(-Math.max(0, now - at) / MEMORY_MILLIS);
    }
  }

  /**
   * Records a statement that has to wait.
   *
   * @param demand what it asks for
   * @param now the current time in milliseconds
   */
  public void arrived(StatementDemand demand, long now) {
    sources.merge(
        new Source(demand.priority(), demand.primaryOnly()),
        new Decaying(demand.workMillis(), now),
        (old, added) -> new Decaying(old.value(now) + added.workMillis, now));
  }

  /**
   * Returns how many connections the arriving work of higher priorities keeps in use.
   *
   * @param priority the priority of a waiting statement
   * @param primaryOnly whether to count the work that only the primary can do, or the other work
   * @param now the current time in milliseconds
   * @return the number of connections
   */
  public double connectionsNeededAbove(int priority, boolean primaryOnly, long now) {
    return sources.entrySet().stream()
            .filter(e -> e.getKey().priority < priority && e.getKey().primaryOnly == primaryOnly)
            .mapToDouble(e -> e.getValue().value(now))
            .sum()
        / MEMORY_MILLIS;
  }
}
