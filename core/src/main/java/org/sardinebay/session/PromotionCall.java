package org.sardinebay.session;

import java.util.concurrent.CompletableFuture;

/** The platform's call that changes a service's primary. */
public interface PromotionCall {
  /** What an order came to. */
  enum Outcome {
    /** The platform carries it out. */
    ACCEPTED,
    /** The member is not running; nothing changes. */
    MEMBER_DOWN,
    /** Nothing changes; try again later. */
    REFUSED,
    /** No answer: it may be carried out. */
    UNKNOWN
  }

  /**
   * Gives an order.
   *
   * @param order the order
   * @param timeoutMillis how long to wait; the connection is reset afterwards
   * @return what it came to; never completes with an exception
   */
  CompletableFuture<Outcome> promote(PromotionOrder order, long timeoutMillis);
}
