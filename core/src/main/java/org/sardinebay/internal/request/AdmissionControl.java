package org.sardinebay.internal.request;

import org.sardinebay.internal.process.Hash64;

/**
 * Decides whether a host takes on another statement, by how late it runs its own work. Covers a
 * fleet that starts again under full load: each host gets more statements than its processor can
 * carry, and if it accepted all of them, each would end after its caller has given up. The share of
 * admitted statements falls while the host is late, and grows again when it is not.
 *
 * <pre>{@code
 * admission.onTick(lateMillis);
 * if (!admission.admits()) { return FinalAnswers.hostOverloaded(admission.retryAfterMillis(id)); }
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop that it measures.
 */
public final class AdmissionControl {
  /**
   * The lateness up to which all statements are admitted, in milliseconds: a statement can still be
   * answered within the usual objectives.
   */
  private static final long TARGET_MILLIS = 250;

  /** The smallest share, so that the host keeps trying what it can carry. */
  private static final double MIN_SHARE = 0.1;

  /** The strongest decrease in one tick. */
  private static final double MIN_FACTOR = 0.5;

  /** Growth of the share with each tick that is not late. */
  private static final double GROWTH = 0.05;

  /** The shortest time after which a refused caller should return, in milliseconds. */
  private static final long MIN_RETRY_MILLIS = 500;

  private double share = 1;
  private double credit;
  private long lateMillis;

  /**
   * Adjusts the share.
   *
   * @param lateMillis how late the event loop ran the present tick, in milliseconds
   */
  public void onTick(long lateMillis) {
    this.lateMillis = lateMillis;
    if (lateMillis <= TARGET_MILLIS) {
      share = Math.min(1, share + GROWTH);
    } else {
      double factor = Math.max(MIN_FACTOR, (double) TARGET_MILLIS / lateMillis);
      share = Math.max(MIN_SHARE, share * factor);
    }
  }

  /**
   * Whether one more statement is admitted.
   *
   * @return true for the current share of the calls, evenly spread
   */
  public boolean admits() {
    credit += share;
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }

  /**
   * Returns when a refused caller should return: once the work that made the host late is done. The
   * times are spread over as long again, so that callers who were refused together don't return
   * together.
   *
   * @param requestId the statement's id, which determines its place in the spread
   * @return milliseconds from now
   */
  public long retryAfterMillis(String requestId) {
    long drained = Math.max(MIN_RETRY_MILLIS, lateMillis);
    return drained + Math.floorMod(Hash64.of(requestId), drained);
  }

  /**
   * Returns the share of statements that are admitted.
   *
   * @return a number above 0, at most 1
   */
  public double share() {
    return share;
  }
}
