package org.sardinebay.internal.process;

import java.util.OptionalLong;

/**
 * Decides whether another host is considered lost, from the answers to calls and probes. Covers a
 * fleet that is slow after a restart: a slow host must not be taken for a dead one, because its
 * callers would move to other hosts that are as slow.
 *
 * <pre>{@code
 * if (liveness.probeDue(now, oldestPendingCallAt)) { liveness.onProbeSent(now); ... }
 * liveness.onAnswer(now);
 * liveness.onProbeUnanswered(now, ownLagMillis);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class PeerLiveness {
  /**
   * The host is probed when it has not answered for this long while a call is pending, in
   * milliseconds. Longer than most statements take.
   */
  private static final long SILENCE_MILLIS = 350;

  /** Interval at which a lost host is probed, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 700;

  /**
   * If this process ran its own work this late, in milliseconds, a missing answer proves nothing:
   * the answer may have arrived without being read.
   */
  private static final long OWN_LAG_MILLIS = 150;

  /** The number of inconclusive probes in a row after which the host is considered lost anyway. */
  private static final int MAX_INCONCLUSIVE_PROBES = 3;

  private boolean lost;
  private boolean probing;
  private int inconclusiveProbes;
  private long probedAt = Long.MIN_VALUE / 2;
  private OptionalLong answeredAt = OptionalLong.empty();

  /**
   * Whether the host is considered lost.
   *
   * @return true if it does not answer
   */
  public boolean lost() {
    return lost;
  }

  /**
   * Returns how long ago the host last answered.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, empty if it never answered
   */
  public OptionalLong silentMillis(long now) {
    return answeredAt.isPresent()
        ? OptionalLong.of(now - answeredAt.getAsLong())
        : OptionalLong.empty();
  }

  /**
   * Whether the host should be probed now.
   *
   * @param now the current time in milliseconds
   * @param oldestPendingCallAt when the oldest call without an answer was sent, in milliseconds
   * @return true if the host is silent or lost, and no probe is in progress
   */
  public boolean probeDue(long now, OptionalLong oldestPendingCallAt) {
    boolean silent =
        oldestPendingCallAt.isPresent()
            && now - oldestPendingCallAt.getAsLong() >= SILENCE_MILLIS
            && now - answeredAt.orElse(Long.MIN_VALUE / 2) >= SILENCE_MILLIS;
    return lost ? regularProbeDue(now) : !probing && silent;
  }

  /**
   * Whether a host that can't be used should be probed now.
   *
   * @param now the current time in milliseconds
   * @return true if no probe is in progress and the last one is long enough ago
   */
  public boolean regularProbeDue(long now) {
    return !probing && now - probedAt >= PROBE_INTERVAL_MILLIS;
  }

  /**
   * Records that a probe was sent.
   *
   * @param now the current time in milliseconds
   */
  public void onProbeSent(long now) {
    probing = true;
    probedAt = now;
  }

  /**
   * Records an answer to a call or a probe.
   *
   * @param now the current time in milliseconds
   */
  public void onAnswer(long now) {
    answeredAt = OptionalLong.of(now);
    inconclusiveProbes = 0;
    lost = false;
  }

  /** Records that the probe in progress has ended. */
  public void onProbeEnded() {
    probing = false;
  }

  /**
   * Records that a probe got no answer in time.
   *
   * @param ownLagMillis how late this process ran its own work recently, in milliseconds
   */
  public void onProbeUnanswered(long ownLagMillis) {
    if (ownLagMillis >= OWN_LAG_MILLIS && ++inconclusiveProbes < MAX_INCONCLUSIVE_PROBES) {
      return;
    }
    inconclusiveProbes = 0;
    lost = true;
  }

  /**
   * Records that a call got no answer. This proves nothing if the host answered another call since.
   *
   * @param sentAt when the call was sent, in milliseconds
   */
  public void onCallUnanswered(long sentAt) {
    if (answeredAt.orElse(Long.MIN_VALUE) < sentAt) {
      lost = true;
    }
  }

  /** Records that the host could not be connected to. */
  public void onUnreachable() {
    lost = true;
  }
}
