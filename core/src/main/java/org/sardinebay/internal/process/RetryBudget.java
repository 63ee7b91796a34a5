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

  private final double retriesPerRequest;
  private double available = MAX_AVAILABLE_RETRIES;

  /** Creates a full budget of {@link #RETRIES_PER_REQUEST}. */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST);
  }

  /**
   * Creates a full budget.
   *
   * @param retriesPerRequest how many retries each request adds to the budget
   */
  public RetryBudget(double retriesPerRequest) {
    this.retriesPerRequest = retriesPerRequest;
  }

  /** Records the first attempt of a request. */
  public synchronized void onRequest() {
    available = Math.min(MAX_AVAILABLE_RETRIES, available + retriesPerRequest);
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
