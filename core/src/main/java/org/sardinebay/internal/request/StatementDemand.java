package org.sardinebay.internal.request;

import java.util.Optional;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.DatabaseRoute;

/**
 * What a statement that waits for a connection asks for. All times are by this host's clock.
 *
 * @param workspace the workspace that the statement runs for, empty if it has none
 * @param priority the priority of the route; 0 is the highest
 * @param workMillis how long the statement is expected to occupy a connection, in milliseconds
 * @param primaryOnly whether only the primary can run it
 * @param arrivedAt when the statement arrived, in milliseconds
 * @param targetAt when its target latency ends, in milliseconds
 * @param giveUpAt the latest time to be placed, in milliseconds
 */
public record StatementDemand(
    Optional<WorkspaceId> workspace,
    int priority,
    double workMillis,
    boolean primaryOnly,
    long arrivedAt,
    long targetAt,
    long giveUpAt) {
  /** Percentage of a statement's timeout that it may wait for a connection; below half. */
  private static final long PLACEMENT_WAIT_PERCENT = 48;

  private static final long PERCENT = 100;

  /**
   * Derives the demand of a statement from its route.
   *
   * @param workspace the workspace that the statement runs for, if any
   * @param route the route
   * @param workMillis how long the statement is expected to occupy a connection, in milliseconds
   * @param primaryOnly whether only the primary can run it
   * @param arrivedAt when it arrived at the caller's host, in milliseconds
   * @return the demand
   */
  public static StatementDemand of(
      Optional<WorkspaceId> workspace,
      DatabaseRoute route,
      double workMillis,
      boolean primaryOnly,
      long arrivedAt) {
    return new StatementDemand(
        workspace,
        route.priority(),
        workMillis,
        primaryOnly,
        arrivedAt,
        arrivedAt + route.targetMillis(),
        arrivedAt + route.timeoutMillis() * PLACEMENT_WAIT_PERCENT / PERCENT);
  }

  /**
   * Returns from when on the statement can only be late.
   *
   * @return the last time to start it within its target, in milliseconds
   */
  public long latestStartInTarget() {
    return targetAt - (long) Math.ceil(workMillis);
  }

  /**
   * Returns when the statement has waited for half of its permitted wait.
   *
   * @return the time in milliseconds
   */
  public long halfWaitedAt() {
    return arrivedAt + (giveUpAt - arrivedAt) / 2;
  }
}
