package org.sardinebay.session;

import java.util.concurrent.CompletableFuture;

/** The platform call that changes a service's primary. */
public interface PromotionClient {
  /** The outcome of an order. */
  enum Outcome {
    /** The platform executes the order. */
    ACCEPTED,
    /** The member is not running; nothing changes. */
    MEMBER_DOWN,
    /** The platform refused the order and changes nothing; it may be retried later. */
    REFUSED,
    /** No answer arrived; the platform may execute the order. */
    UNKNOWN
  }

  /**
   * Sends an order to the platform.
   *
   * @param order the order
   * @param timeoutMillis how long to wait for the answer, in milliseconds; the connection is reset
   *     afterwards
   * @return the outcome; never completes exceptionally
   */
  CompletableFuture<Outcome> promote(PromotionOrder order, long timeoutMillis);
}
