package org.sardinebay.proxy.internal.request;

import org.sardinebay.internal.request.RequestDeadline;

/**
 * Computes the timeouts of a single attempt, in milliseconds; after a timeout, the same or another
 * member is tried.
 */
final class AttemptTimeout {
  private static final long MIN_WRITE_MILLIS = 1_000;
  private static final long MIN_READ_MILLIS = 300;
  private static final int WRITE_DIVISOR = 2;
  private static final int READ_DIVISOR = 4;
  private static final long MAX_QUEUE_MILLIS = 1_000;

  private AttemptTimeout() {}

  static long write(RequestDeadline deadline, long now) {
    long remaining = deadline.remaining(now);
    return Math.min(remaining, Math.max(MIN_WRITE_MILLIS, remaining / WRITE_DIVISOR));
  }

  static long read(RequestDeadline deadline, long now) {
    long remaining = deadline.remaining(now);
    return Math.min(remaining, Math.max(MIN_READ_MILLIS, remaining / READ_DIVISOR));
  }

  static long queueDeadline(RequestDeadline deadline, long now) {
    return Math.min(deadline.atMillis(), now + MAX_QUEUE_MILLIS);
  }
}
