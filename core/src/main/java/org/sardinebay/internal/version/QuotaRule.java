package org.sardinebay.internal.version;

import org.sardinebay.session.Workspace;

/**
 * The rule that limits the operations of a workspace: in any sliding window, all hosts together run
 * at most the window's limit times {@code 1 + overrun}, plus {@code slack}.
 *
 * @param windowMillis the length of the window in milliseconds
 * @param overrun the fraction by which the limit may be exceeded
 * @param slack the number of operations by which it may be exceeded in addition
 */
public record QuotaRule(long windowMillis, double overrun, double slack) {
  /** The rule for settings that state none: that of the deployments known so far. */
  public static final QuotaRule DEFAULT = new QuotaRule(5_000, 0.1, 20);

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns the number of operations that a workspace may run in one window.
   *
   * @param workspace a workspace with a rate
   * @return rate times window plus burst
   */
  public double windowLimit(Workspace workspace) {
    return workspace.operationsPerSecond() * windowSeconds() + workspace.burst();
  }

  /**
   * Returns the number of operations that the rule tolerates beyond the limit of a window.
   *
   * @param workspace a workspace with a rate
   * @return the number of operations
   */
  public double tolerance(Workspace workspace) {
    return windowLimit(workspace) * overrun + slack;
  }

  double windowSeconds() {
    return windowMillis / MILLIS_PER_SECOND;
  }
}
