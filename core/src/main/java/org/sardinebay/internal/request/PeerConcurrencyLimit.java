package org.sardinebay.internal.request;

/**
 * Limits the number of statements in flight to another host by additive increase and multiplicative
 * decrease: the limit grows by one with each statement that the host ran, and is halved by a
 * refusal, which also suspends further offers for a short time.
 *
 * <pre>{@code
 * if (limit.permits(now)) { limit.offered(); ... limit.accepted(); }
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class PeerConcurrencyLimit {
  /** The upper bound of the limit: more than the number of connections that a host holds. */
  private static final int MAX_LIMIT = 16;

  /**
   * How long no statement is offered after a refusal, in milliseconds: the service time of a few
   * statements.
   */
  private static final long BACKOFF_MILLIS = 100;

  private int limit = 1;
  private int inFlight;
  private long pausedUntil = Long.MIN_VALUE;

  /**
   * Whether another statement may be offered.
   *
   * @param now the current time in milliseconds
   * @return true if fewer statements than the limit are in flight and no refusal is recent
   */
  public boolean permits(long now) {
    return inFlight < limit && now >= pausedUntil;
  }

  /** Records that a statement was offered. */
  public void offered() {
    inFlight++;
  }

  /** Records that the host ran a statement. */
  public void accepted() {
    inFlight--;
    limit = Math.min(MAX_LIMIT, limit + 1);
  }

  /**
   * Records that the host refused a statement or did not answer.
   *
   * @param now the current time in milliseconds
   */
  public void refused(long now) {
    inFlight--;
    limit = Math.max(1, limit / 2);
    pausedUntil = now + BACKOFF_MILLIS;
  }
}
