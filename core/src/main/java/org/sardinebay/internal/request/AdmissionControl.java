package org.sardinebay.internal.request;

/**
 * Decides whether a host takes on another statement, by how late it runs its own work. Covers a
 * fleet that starts again under full load: each host gets more statements than its processor can
 * carry, and if it accepted all of them, each would end after its caller has given up. The share of
 * admitted statements falls while the host is late, and grows again when it is not.
 *
 * <pre>{@code
 * admission.onTick(lateMillis);
 * if (!admission.admits()) { return FinalAnswers.hostOverloaded(); }
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

  private double share = 1;
  private double credit;

  /**
   * Adjusts the share.
   *
   * @param lateMillis how late the event loop ran the present tick, in milliseconds
   */
  public void onTick(long lateMillis) {
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
   * Returns the share of statements that are admitted.
   *
   * @return a number above 0, at most 1
   */
  public double share() {
    return share;
  }
}
