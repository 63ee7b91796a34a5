package org.sardinebay.gateway.internal.process;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the parts of the periodic work, each independent of the others. */
final class TickPart {
  private static final Logger LOG = LoggerFactory.getLogger(TickPart.class);

  private TickPart() {}

  /**
   * Runs one part of a tick. An exception in it must not prevent the other parts or later ticks.
   */
  static void run(String part, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.atError().setMessage("tick_failed").addKeyValue("part", part).setCause(e).log();
    }
  }
}
