package org.sardinebay.internal.request;

import org.sardinebay.internal.process.RetryBudget;

/**
 * Decides when a read that a member has not answered is sent to a second member as well. Covers
 * members that hang or turn slow for single statements: the read would otherwise wait until its
 * attempt times out, which is longer than its target latency.
 *
 * <pre>{@code
 * hedging.onRead();
 * after(ReadHedging.delayMillis(usualMillis, roundTripMillis), () -> {
 *   if (unanswered && hedging.permits()) { ... }
 * });
 * }</pre>
 */
public final class ReadHedging {
  /** The share of the reads that may be sent twice: bounds the load that this adds to members. */
  private static final double HEDGED_SHARE = 0.05;

  /** The shortest delay in milliseconds: usual variation must not cause a second read. */
  private static final long MIN_DELAY_MILLIS = 60;

  /** An answer that takes this many times as long as usual is considered overdue. */
  private static final double OVERDUE_FACTOR = 3;

  private final RetryBudget budget = new RetryBudget(HEDGED_SHARE);

  /** Records a read. */
  public void onRead() {
    budget.onRequest();
  }

  /**
   * Takes one read from the budget.
   *
   * @return false if too many reads were sent twice
   */
  public boolean permits() {
    return budget.tryRetry();
  }

  /**
   * Returns how long to wait for the first member's answer.
   *
   * @param usualMillis the usual duration of such a read at a member, in milliseconds
   * @param roundTripMillis the round-trip time to the first member, in milliseconds
   * @return the delay in milliseconds
   */
  public static long delayMillis(double usualMillis, long roundTripMillis) {
    return roundTripMillis + Math.max(MIN_DELAY_MILLIS, Math.round(OVERDUE_FACTOR * usualMillis));
  }
}
