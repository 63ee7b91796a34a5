package org.sardinebay.internal.request;

/**
 * When a request's answer is due.
 *
 * @param atMillis a reading of the process's clock
 */
public record RequestDeadline(long atMillis) {
  /**
   * How much time is left.
   *
   * @param now the time
   * @return milliseconds, not negative
   */
  public long remaining(long now) {
    return Math.max(0, atMillis - now);
  }

  /**
   * Whether the time is up.
   *
   * @param now the time
   * @return true if nothing is left
   */
  public boolean passed(long now) {
    return now >= atMillis;
  }
}
