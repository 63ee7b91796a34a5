package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures how long members have not replied.
 *
 * <pre>{@code
 * detector.onPoll(now);
 * detector.onReply(member, now);
 * boolean silent = detector.suspects(member, now);
 * }</pre>
 *
 * <p>While this process is paused, it receives no replies. Silence is therefore measured only from
 * the end of the last gap between two of its own polls that was longer than {@link
 * #LATE_POLL_MILLIS}.
 *
 * @param <T> the type that identifies a member
 */
public final class FailureDetector<T> {
  /** The time without a reply after which a member is suspected, in milliseconds. */
  public static final long SUSPECT_AFTER_MILLIS = 500;

  /**
   * The gap between two polls, in milliseconds, above which this process is considered to have been
   * paused.
   */
  public static final long LATE_POLL_MILLIS = 250;

  private final Map<T, Long> lastReplies = new HashMap<>();
  private long lastPollMillis;
  private long listeningSinceMillis;

  /**
   * Creates a detector without any replies.
   *
   * @param nowMillis the current time, from which silence is measured
   */
  public FailureDetector(long nowMillis) {
    this.lastPollMillis = nowMillis;
    this.listeningSinceMillis = nowMillis;
  }

  /**
   * Records that this process ran its poll.
   *
   * @param nowMillis the current time
   */
  public void onPoll(long nowMillis) {
    if (pollOverdue(nowMillis)) {
      listeningSinceMillis = nowMillis;
    }
    lastPollMillis = nowMillis;
  }

  /**
   * Records a reply of a member.
   *
   * @param member the member
   * @param nowMillis when the reply arrived
   */
  public void onReply(T member, long nowMillis) {
    lastReplies.merge(member, nowMillis, Math::max);
  }

  /**
   * Returns how long a member has not replied while this process was running.
   *
   * @param member the member
   * @param nowMillis the current time
   * @return the time without a reply in milliseconds, 0 if this process has just resumed after a
   *     pause
   */
  public long silentMillis(T member, long nowMillis) {
    if (pollOverdue(nowMillis)) {
      return 0;
    }
    long lastReply = lastReplies.getOrDefault(member, listeningSinceMillis);
    return nowMillis - Math.max(lastReply, listeningSinceMillis);
  }

  /**
   * Returns whether a member is suspected to have failed.
   *
   * @param member the member
   * @param nowMillis the current time
   * @return true if it has not replied for {@link #SUSPECT_AFTER_MILLIS} or longer
   */
  public boolean suspects(T member, long nowMillis) {
    return silentMillis(member, nowMillis) >= SUSPECT_AFTER_MILLIS;
  }

  private boolean pollOverdue(long nowMillis) {
    return nowMillis - lastPollMillis > LATE_POLL_MILLIS;
  }
}
