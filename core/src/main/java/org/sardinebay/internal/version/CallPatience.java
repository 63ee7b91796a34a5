package org.sardinebay.internal.version;

/**
 * How long to wait for the answer of a store that is usually quick, may be slow and sometimes loses
 * answers: little at first, so that a lost answer costs little, twice as long after each one that
 * did not come.
 *
 * <pre>{@code
 * store.write(key, version, body, patience.timeoutMillis());
 * }</pre>
 */
public final class CallPatience {
  /** The first timeout, in milliseconds: above an answer of a store that is sixty times as slow. */
  public static final long FIRST_MILLIS = 300;

  /** The longest timeout, in milliseconds: a right that is counted from the call would be over. */
  public static final long LONGEST_MILLIS = 1_200;

  private long timeoutMillis = FIRST_MILLIS;

  /**
   * The timeout of the next call.
   *
   * @return milliseconds
   */
  public long timeoutMillis() {
    return timeoutMillis;
  }

  /** Notes that an answer came, whatever it was. */
  public void answered() {
    timeoutMillis = FIRST_MILLIS;
  }

  /** Notes that no answer came in time. */
  public void unanswered() {
    timeoutMillis = Math.min(LONGEST_MILLIS, 2 * timeoutMillis);
  }
}
