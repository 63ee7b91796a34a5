package org.sardinebay.internal.process;

/**
 * Limits retries to a share of the requests, so that they can't multiply an overload.
 *
 * <pre>{@code
 * budget.onRequest();
 * if (budget.tryRetry()) { ... }
 * }</pre>
 */
public final class RetryBudget {
  /** How many retries one request earns. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  private static final double MAX_SAVED_RETRIES = 100;

  private double saved = MAX_SAVED_RETRIES;

  /** Notes a first attempt. */
  public synchronized void onRequest() {
    saved = Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_REQUEST);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false if the budget is spent
   */
  public synchronized boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
