package org.sardinebay.internal.version;

import java.util.List;

/** A state machine, without I/O of its own, that changes the promotion record of a database. */
public interface PromotionStateMachine {
  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowMillis the current time
   * @return the effects to execute, in order
   */
  List<PromotionEffect> handle(PromotionEvent event, long nowMillis);

  /**
   * Returns whether a newer promotion may replace this state machine.
   *
   * @return true if no progress would be lost
   */
  boolean replaceable();
}
