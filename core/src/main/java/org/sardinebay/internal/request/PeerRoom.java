package org.sardinebay.internal.request;

/**
 * How many statements another host may be offered at once: one more after each that it took, half
 * after one that it had no room for, and then none for a while.
 *
 * <pre>{@code
 * if (room.permits(now)) { room.offered(); ... room.taken(); }
 * }</pre>
 *
 * <p>Not thread-safe: its owner's loop guards it.
 */
public final class PeerRoom {
  /** The most statements offered at once: more than the connections that a host holds. */
  private static final int MOST = 16;

  /** How long a host that had no room is left alone, in milliseconds: some statements' work. */
  private static final long PAUSE_MILLIS = 100;

  private int limit = 1;
  private int pending;
  private long pausedUntil = Long.MIN_VALUE;

  /**
   * Whether one more statement may be offered.
   *
   * @param now the time
   * @return true if fewer than the limit are on their way and no refusal is recent
   */
  public boolean permits(long now) {
    return pending < limit && now >= pausedUntil;
  }

  /** Notes that a statement was offered. */
  public void offered() {
    pending++;
  }

  /** Notes that the host ran a statement. */
  public void taken() {
    pending--;
    limit = Math.min(MOST, limit + 1);
  }

  /**
   * Notes that the host took a statement not, or gave no answer.
   *
   * @param now the time
   */
  public void refused(long now) {
    pending--;
    limit = Math.max(1, limit / 2);
    pausedUntil = now + PAUSE_MILLIS;
  }
}
