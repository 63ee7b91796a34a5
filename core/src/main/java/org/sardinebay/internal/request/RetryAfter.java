package org.sardinebay.internal.request;

import java.util.SplittableRandom;

/**
 * Decides when the caller of a rejected statement should come back: when the work ahead of it is
 * expected to be done. Callers of higher priorities come back sooner, and callers that were
 * rejected together do not come back together.
 */
public final class RetryAfter {
  /** A retry sooner than this would meet the same queue. */
  private static final long MIN_MILLIS = 50;

  /** Overload lasts for seconds; later the estimate says nothing. */
  private static final long MAX_MILLIS = 3_000;

  private static final double MIN_JITTER = 0.75;
  private static final double MAX_JITTER = 1.5;

  private RetryAfter() {}

  /**
   * Returns the time after which to retry.
   *
   * @param drainMillis the expected time until the work ahead is done, in milliseconds
   * @param priority the priority of the route; 0 is the highest and is told to come back soonest
   * @param requestId the id of the request, which determines the jitter
   * @return the time in milliseconds
   */
  public static long millis(long drainMillis, int priority, String requestId) {
    SplittableRandom random = new SplittableRandom(requestId.hashCode());
    double jitter = MIN_JITTER + (MAX_JITTER - MIN_JITTER) * random.nextDouble();
    double byPriority = (1 + Math.max(0, priority)) / 2.0;
    double millis = Math.max(MIN_MILLIS, drainMillis) * byPriority * jitter;
    return Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, Math.round(millis)));
  }
}
