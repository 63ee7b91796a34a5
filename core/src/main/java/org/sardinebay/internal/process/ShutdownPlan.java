package org.sardinebay.internal.process;

/**
 * The times of a planned stop. Callers are served for as long as their statements can be expected
 * to end, and every statement that was read is answered before the connections are closed.
 *
 * <pre>{@code
 * ShutdownPlan plan = new ShutdownPlan(now, balancerNoticesMillis, shutdownMillis);
 * sleepUntil(plan.answerAllAt());
 * }</pre>
 *
 * @param startedAt when the stop began, in milliseconds
 * @param balancerNoticesMillis how long the balancer may still send callers, in milliseconds
 * @param shutdownMillis after which time the process is killed, in milliseconds
 */
public record ShutdownPlan(long startedAt, long balancerNoticesMillis, long shutdownMillis) {
  /**
   * How long the last callers sent by the balancer have for their first statement before idle
   * sessions are closed, in milliseconds.
   */
  private static final long LAST_CALLERS_MILLIS = 1_200;

  /**
   * How long the last statements have before they are answered without a result, in milliseconds:
   * several times the duration of an ordinary statement. Callers are refused meanwhile, so it is
   * short.
   */
  private static final long LAST_STATEMENTS_MILLIS = 250;

  /**
   * The share of the time that is kept for the last answers and the end of the process: a quarter,
   * so that the process exits by itself and its host is back soon.
   */
  private static final int EXIT_SHARE = 4;

  /**
   * Returns when sessions start to end after their next statement or transaction.
   *
   * @return the time in milliseconds
   */
  public long closeAfterNextAt() {
    return Math.min(startedAt + balancerNoticesMillis, refuseAt());
  }

  /**
   * Returns when idle sessions are closed.
   *
   * @return the time in milliseconds
   */
  public long closeIdleAt() {
    return Math.min(closeAfterNextAt() + LAST_CALLERS_MILLIS, refuseAt());
  }

  /**
   * Returns when new sessions and statements are refused, so that their callers retry elsewhere.
   *
   * @return the time in milliseconds
   */
  public long refuseAt() {
    return Math.max(startedAt, answerAllAt() - LAST_STATEMENTS_MILLIS);
  }

  /**
   * Returns when the statements that are still running get their final answer.
   *
   * @return the time in milliseconds
   */
  public long answerAllAt() {
    return startedAt + shutdownMillis - shutdownMillis / EXIT_SHARE;
  }
}
