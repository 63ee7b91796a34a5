package org.sardinebay.gateway.internal.connection;

/**
 * How long a member has sent nothing on any connection.
 *
 * <pre>{@code
 * silence.onLine(now);
 * if (silence.needsProbe(pendingMillis, now)) { ... }
 * }</pre>
 */
final class MemberSilence {
  /**
   * When a member has sent no line for this long while an answer is pending, in milliseconds, a new
   * connection is opened as a probe. Longer than the execution of the longest statements.
   */
  private static final long PROBE_MILLIS = 350;

  private long lastLineAt;

  /** Records that the member sent a line. */
  void onLine(long now) {
    lastLineAt = now;
  }

  /** Returns the time since the member last sent a line, in milliseconds. */
  long millis(long now) {
    return now - lastLineAt;
  }

  /** Whether it is time for a probe, if the oldest pending answer is awaited for this long. */
  boolean needsProbe(long pendingMillis, long now) {
    return millis(now) >= PROBE_MILLIS && pendingMillis >= PROBE_MILLIS;
  }
}
