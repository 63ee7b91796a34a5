package org.sardinebay.internal.process;

import java.util.function.LongSupplier;

/**
 * Delays between the attempts of one call that fails again and again: each twice as long as the one
 * before, up to a limit. The load it answers is a store that rejects some hosts for many seconds:
 * all calls are counted, rejected ones too, and a host that is rejected hears of changes from its
 * peers meanwhile.
 *
 * <pre>{@code
 * loop.delay(backoff.onFailure(), this::call);
 * backoff.onSuccess();
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class RetryBackoff {
  private final long firstMillis;
  private final LongSupplier maxMillis;
  private long nextMillis;

  /**
   * Creates a backoff for a call that has not failed.
   *
   * @param firstMillis the delay after the first failure, in milliseconds
   * @param maxMillis the longest delay, in milliseconds
   */
  public RetryBackoff(long firstMillis, long maxMillis) {
    this(firstMillis, () -> maxMillis);
  }

  /**
   * Creates a backoff whose limit may change.
   *
   * @param firstMillis the delay after the first failure, in milliseconds
   * @param maxMillis the longest delay, in milliseconds
   */
  public RetryBackoff(long firstMillis, LongSupplier maxMillis) {
    this.firstMillis = firstMillis;
    this.maxMillis = maxMillis;
    this.nextMillis = firstMillis;
  }

  /**
   * Records a failure.
   *
   * @return the delay before the next attempt, in milliseconds
   */
  public long onFailure() {
    long delay = Math.min(maxMillis.getAsLong(), nextMillis);
    nextMillis = Math.min(maxMillis.getAsLong(), 2 * nextMillis);
    return delay;
  }

  /** Records that the call succeeded, so that the next failure is followed by the first delay. */
  public void onSuccess() {
    nextMillis = firstMillis;
  }
}
