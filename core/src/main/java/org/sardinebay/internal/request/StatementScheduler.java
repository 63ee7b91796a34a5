package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.sardinebay.session.Workspaces;

/**
 * Decides in which order the waiting statements of a service are placed, and which of them are
 * rejected because they would wait in vain. Statements wait in a {@link FairStatementQueue} while
 * workspaces are in force, otherwise in a {@link StatementQueue}, without early rejection.
 *
 * <pre>{@code
 * scheduler.workspaces(table.workspaces());
 * WaitEstimate.Expected<T> expected = scheduler.add(item, demand, capacity, now);
 * if (!expected.inTime()) { reject(expected); }
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 *
 * @param <T> the type of the statements
 */
public final class StatementScheduler<T> {
  /** The expected work of a statement before the first sample, in milliseconds. */
  private static final double DEFAULT_WORK_MILLIS = 24;

  private final StatementDurations durations = new StatementDurations();
  private final ArrivingWork arriving = new ArrivingWork();
  private WaitingStatements<T> waiting = new StatementQueue<>();
  private Optional<Workspaces> workspaces = Optional.empty();

  /**
   * Applies the workspaces of a configuration. Statements that wait move to the queue that is in
   * use from now on.
   *
   * @param inForce the workspaces, empty if the deployment has none
   */
  public void workspaces(Optional<Workspaces> inForce) {
    boolean sameQueue = inForce.isPresent() == workspaces.isPresent();
    workspaces = inForce;
    if (sameQueue) {
      return;
    }
    WaitingStatements<T> previous = waiting;
    waiting =
        fair()
            ? new FairStatementQueue<>(id -> WorkspaceWeights.of(workspaces.orElseThrow(), id))
            : new StatementQueue<>();
    // The order does not depend on the time here: the new queue orders its statements itself.
    previous.inOrder(0).forEach(moved -> waiting.add(moved.item(), moved.demand()));
  }

  /**
   * Whether capacity is shared among workspaces.
   *
   * @return true while workspaces are in force
   */
  public boolean fair() {
    return workspaces.isPresent();
  }

  /**
   * Returns the observed durations.
   *
   * @return the durations, to be updated with each statement
   */
  public StatementDurations durations() {
    return durations;
  }

  /**
   * Returns the mean work of the recent statements of all kinds.
   *
   * @return whole milliseconds, at least 1
   */
  public long meanWorkMillis() {
    return Math.max(1, Math.round(durations.meanMillis().orElse(DEFAULT_WORK_MILLIS)));
  }

  /**
   * Returns how long a statement is expected to occupy a connection.
   *
   * @param kind its kind
   * @return the duration in milliseconds
   */
  public double workMillis(StatementDurations.Kind kind) {
    return durations.expectedMillis(kind).orElse(DEFAULT_WORK_MILLIS);
  }

  /**
   * Adds a statement that has to wait.
   *
   * @param item the statement
   * @param demand what it asks for
   * @param capacity what serves the statements
   * @param mayBePlaced whether a suitable connection is idle or may be opened; such a statement
   *     waits whatever is estimated
   * @param now the current time in milliseconds
   * @return the expected wait; if it is not in time, the statement was not added
   */
  public WaitEstimate.Expected<T> add(
      T item,
      StatementDemand demand,
      WaitEstimate.Capacity capacity,
      Predicate<T> mayBePlaced,
      long now) {
    waiting.add(item, demand);
    arriving.arrived(demand, now);
    if (!fair() || mayBePlaced.test(item)) {
      return new WaitEstimate.Expected<>(item, OptionalLong.empty(), 0, true);
    }
    WaitEstimate.Expected<T> expected =
        new WaitEstimate(capacity, arriving)
            .walk(waiting.inOrder(now), now).stream()
                .filter(candidate -> candidate.item().equals(item))
                .findFirst()
                .orElseThrow();
    if (!expected.inTime()) {
      waiting.remove(item);
    }
    return expected;
  }

  /**
   * Removes the statements that can no longer be placed in time.
   *
   * @param capacity what serves the statements
   * @param mayBePlaced whether a suitable connection is idle or may be opened; such a statement
   *     stays
   * @param now the current time in milliseconds
   * @return the removed statements with their expected waits
   */
  public List<WaitEstimate.Expected<T>> shed(
      WaitEstimate.Capacity capacity, Predicate<T> mayBePlaced, long now) {
    List<WaitEstimate.Expected<T>> removed = new ArrayList<>();
    if (!fair() || size() == 0) {
      return removed;
    }
    for (WaitEstimate.Expected<T> expected :
        new WaitEstimate(capacity, arriving).walk(waiting.inOrder(now), now)) {
      if (!expected.inTime() && !mayBePlaced.test(expected.item())) {
        waiting.remove(expected.item());
        removed.add(expected);
      }
    }
    return removed;
  }

  /**
   * Offers the statements in order and removes those that were placed.
   *
   * @param now the current time in milliseconds
   * @param place places one statement; returns false if it has to wait longer
   */
  public void dispatch(long now, Predicate<T> place) {
    waiting.dispatch(now, place);
  }

  /**
   * Removes the statements whose latest time has come.
   *
   * @param now the current time in milliseconds
   * @return the removed statements
   */
  public List<T> expire(long now) {
    return waiting.expire(now);
  }

  /**
   * Whether a waiting statement has a property.
   *
   * @param property tests one statement
   * @return true if any waiting statement has it
   */
  public boolean anyWaits(Predicate<T> property) {
    return waiting.inOrder(Long.MIN_VALUE).stream().anyMatch(w -> property.test(w.item()));
  }

  /**
   * Returns the number of waiting statements.
   *
   * @return the number
   */
  public int size() {
    return waiting.size();
  }
}
