package org.sardinebay.internal.version;

import java.util.List;

/** A plain state machine that changes the state of a database's promotions. */
public interface PromotionMachine {
  /**
   * Takes an event.
   *
   * @param event the event
   * @param nowMillis the time
   * @return what to do, in this order
   */
  List<PromotionEffect> handle(PromotionEvent event, long nowMillis);

  /**
   * Whether a newer promotion may replace this machine.
   *
   * @return true while nothing would be lost by it
   */
  boolean replaceable();
}
