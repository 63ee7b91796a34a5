package org.sardinebay.internal.process;

import java.util.OptionalLong;

/**
 * Decides whether another host is considered lost, from the answers to calls and probes. Covers a
 * fleet that is slow after a restart, and links that are busy with a large configuration: a slow
 * host must not be taken for a dead one, because its callers would move to other hosts that are as
 * slow. A host that does not answer is suspected at once, so that other hosts are preferred, and
 * lost only after it has stayed silent for longer.
 *
 * <pre>{@code
 * if (liveness.probeDue(now, oldestPendingCallAt)) { liveness.onProbeSent(now); ... }
 * liveness.onAnswer(now);
 * liveness.onProbeUnanswered(now, ownLagMillis);
 * if (liveness.suspected()) { prefer other hosts }
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

  /**
   * How long a suspected host has to stay silent before it is lost, in milliseconds: with the
   * silence that led to the suspicion it has not answered for 1.5 s. Statements and probes wait for
   * about a second behind a large configuration on a slow link.
   */
  private static final long SUSPICION_MILLIS = 800;

  /** The number of inconclusive probes in a row after which the host is suspected anyway. */
  private static final int MAX_INCONCLUSIVE_PROBES = 3;

  private boolean lost;
  private OptionalLong suspectedSince = OptionalLong.empty();
  private boolean probing;
  private int inconclusiveProbes;
  private long probedAt = Long.MIN_VALUE / 2;
  private OptionalLong answeredAt = OptionalLong.empty();

  /**
   * Whether the host is considered lost.
   *
   * @return true if it can't be connected to, or has not answered for a long time
   */
  public boolean lost() {
    return lost;
  }

  /**
   * Whether other hosts should be preferred to this one.
   *
   * @return true if the host does not answer, whether or not it is already lost
   */
  public boolean suspected() {
    return lost || suspectedSince.isPresent();
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
    if (lost) {
      return regularProbeDue(now);
    }
    boolean confirming = suspectedSince.isPresent() && now - probedAt >= SILENCE_MILLIS;
    return !probing && (silent || confirming);
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
    suspectedSince = OptionalLong.empty();
    lost = false;
  }

  /** Records that the probe in progress has ended. */
  public void onProbeEnded() {
    probing = false;
  }

  /**
   * Records that a probe got no answer in time.
   *
   * @param now the current time in milliseconds
   * @param ownLagMillis how late this process ran its own work recently, in milliseconds
   */
  public void onProbeUnanswered(long now, long ownLagMillis) {
    if (ownLagMillis >= OWN_LAG_MILLIS && ++inconclusiveProbes < MAX_INCONCLUSIVE_PROBES) {
      return;
    }
    inconclusiveProbes = 0;
    if (suspectedSince.isEmpty()) {
      suspectedSince = OptionalLong.of(now);
    } else if (now - suspectedSince.getAsLong() >= SUSPICION_MILLIS) {
      lost = true;
    }
  }

  /**
   * Records that a call got no answer. This proves nothing if the host answered another call since.
   *
   * @param sentAt when the call was sent, in milliseconds
   * @param now the current time in milliseconds
   */
  public void onCallUnanswered(long sentAt, long now) {
    if (answeredAt.orElse(Long.MIN_VALUE) < sentAt && suspectedSince.isEmpty()) {
      suspectedSince = OptionalLong.of(now);
    }
  }

  /** Records that the host could not be connected to. */
  public void onUnreachable() {
    lost = true;
  }
}
