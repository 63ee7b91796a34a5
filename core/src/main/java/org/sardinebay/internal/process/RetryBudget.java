package org.sardinebay.internal.process;

/**
 * Limits retries to a fraction of the requests, so that retries can't amplify an overload.
 *
 * <pre>{@code
 * budget.onRequest();
 * if (budget.tryRetry()) { ... }
 * }</pre>
 */
public final class RetryBudget {
  /** How many retries each request adds to the budget. */
  public static final double RETRIES_PER_REQUEST = 0.1;

  private static final double MAX_AVAILABLE_RETRIES = 100;

  private double available = MAX_AVAILABLE_RETRIES;

  /** Records the first attempt of a request. */
  public synchronized void onRequest() {
    available = Math.min(MAX_AVAILABLE_RETRIES, available + RETRIES_PER_REQUEST);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false if the budget is exhausted
   */
  public synchronized boolean tryRetry() {
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
