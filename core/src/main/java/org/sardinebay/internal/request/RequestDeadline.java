package org.sardinebay.internal.request;

/**
 * The deadline of a request.
 *
 * @param atMillis the deadline as a reading of the process's {@link org.sardinebay.Clock}
 */
public record RequestDeadline(long atMillis) {
  /**
   * The remaining time.
   *
   * @param now the current time in milliseconds
   * @return the remaining milliseconds, never negative
   */
  public long remaining(long now) {
    return Math.max(0, atMillis - now);
  }

  /**
   * Whether the deadline has passed.
   *
   * @param now the current time in milliseconds
   * @return true if no time is left
   */
  public boolean passed(long now) {
    return now >= atMillis;
  }
}
