package org.sardinebay.internal.version;

/**
 * Adaptive timeout for calls to a store that is usually fast, may be slow and sometimes loses
 * replies. The timeout starts low, so that a lost reply costs little, and doubles after each call
 * without a reply.
 *
 * <pre>{@code
 * store.write(key, version, body, timeout.timeoutMillis());
 * }</pre>
 */
public final class AdaptiveTimeout {
  /**
   * The initial timeout, in milliseconds: longer than a reply of a store that is sixty times slower
   * than usual.
   */
  public static final long INITIAL_TIMEOUT_MILLIS = 300;

  /**
   * The maximum timeout, in milliseconds: a lease is counted from the start of the call that
   * acquires it, so a longer call would leave little or nothing of it.
   */
  public static final long MAX_TIMEOUT_MILLIS = 1_200;

  private long timeoutMillis = INITIAL_TIMEOUT_MILLIS;

  /**
   * Returns the timeout for the next call.
   *
   * @return milliseconds
   */
  public long timeoutMillis() {
    return timeoutMillis;
  }

  /** Records that a reply arrived, successful or not, and resets the timeout. */
  public void onReply() {
    timeoutMillis = INITIAL_TIMEOUT_MILLIS;
  }

  /** Records that no reply arrived in time, and doubles the timeout up to its maximum. */
  public void timedOut() {
    timeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, 2 * timeoutMillis);
  }
}
