package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;

/**
 * Says how long members have been silent.
 *
 * <pre>{@code
 * detector.polled(now);
 * detector.answered(member, now);
 * boolean silent = detector.suspects(member, now);
 * }</pre>
 *
 * <p>While this process itself was frozen it heard nobody. Silence therefore counts only from the
 * last gap between two of its own polls that was longer than {@link #LATE_POLL_MILLIS}.
 *
 * @param <T> what names a member
 */
public final class FailureDetector<T> {
  /** The silence after which a member is suspected. */
  public static final long SUSPECT_AFTER_MILLIS = 500;

  /** The gap between two polls above which this process counts as having been frozen. */
  public static final long LATE_POLL_MILLIS = 250;

  private final Map<T, Long> lastAnswers = new HashMap<>();
  private long lastPollMillis;
  private long listeningSinceMillis;

  /**
   * Creates a detector that has heard nobody yet.
   *
   * @param nowMillis the time from which silence counts
   */
  public FailureDetector(long nowMillis) {
    this.lastPollMillis = nowMillis;
    this.listeningSinceMillis = nowMillis;
  }

  /**
   * Notes that this process ran its poll.
   *
   * @param nowMillis the time
   */
  public void polled(long nowMillis) {
    if (late(nowMillis)) {
      listeningSinceMillis = nowMillis;
    }
    lastPollMillis = nowMillis;
  }

  /**
   * Notes that a member answered.
   *
   * @param member which
   * @param nowMillis when the answer arrived
   */
  public void answered(T member, long nowMillis) {
    lastAnswers.merge(member, nowMillis, Math::max);
  }

  /**
   * How long a member has been silent while this process listened.
   *
   * @param member which
   * @param nowMillis the time
   * @return the silence, 0 if this process has only just come back itself
   */
  public long silentMillis(T member, long nowMillis) {
    if (late(nowMillis)) {
      return 0;
    }
    long lastAnswer = lastAnswers.getOrDefault(member, listeningSinceMillis);
    return nowMillis - Math.max(lastAnswer, listeningSinceMillis);
  }

  /**
   * Whether a member has been silent for too long.
   *
   * @param member which
   * @param nowMillis the time
   * @return true from {@link #SUSPECT_AFTER_MILLIS} on
   */
  public boolean suspects(T member, long nowMillis) {
    return silentMillis(member, nowMillis) >= SUSPECT_AFTER_MILLIS;
  }

  private boolean late(long nowMillis) {
    return nowMillis - lastPollMillis > LATE_POLL_MILLIS;
  }
}
