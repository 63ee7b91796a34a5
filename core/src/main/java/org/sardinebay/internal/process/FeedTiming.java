package org.sardinebay.internal.process;

/** Times of the calls with which hosts ask each other for changes of the configuration. */
public final class FeedTiming {
  /** How long a call waits for a change, in milliseconds. */
  public static final long WAIT_MILLIS = 3_000;

  /** How long a caller waits for the reply, in milliseconds. */
  public static final long REPLY_TIMEOUT_MILLIS = WAIT_MILLIS + 1_000;

  /**
   * How long a call waits at a host that the store has not answered lately, in milliseconds. The
   * caller asks another host then, which may know more.
   */
  public static final long STALE_SOURCE_WAIT_MILLIS = 500;

  /**
   * Delay before a host fetches what a host of another failure domain announces, in milliseconds: a
   * large configuration reaches the own domain's watchers at about the same time, and bytes between
   * domains are counted.
   */
  public static final long OTHER_DOMAIN_FETCH_DELAY_MILLIS = 500;

  private FeedTiming() {}
}
