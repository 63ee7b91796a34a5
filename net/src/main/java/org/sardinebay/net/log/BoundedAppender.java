package org.sardinebay.net.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines on a thread of its own. When lines come faster than they can be written, it drops
 * those that matter least first, then all, and counts what it dropped; it never blocks.
 */
public final class BoundedAppender extends AsyncAppender {
  /** Lines that wait to be written: some seconds of the busiest logging. */
  public static final int QUEUE_LINES = 2_048;

  /** With fewer free places than this, events that matter little are dropped. */
  private static final int SCARCE = QUEUE_LINES / 4;

  private final Set<String> minor;
  private final AtomicLong dropped = new AtomicLong();

  /**
   * An appender that has not started.
   *
   * @param minor events that are dropped first
   */
  public BoundedAppender(Set<String> minor) {
    this.minor = Set.copyOf(minor);
    setQueueSize(QUEUE_LINES);
    setDiscardingThreshold(0);
    setNeverBlock(true);
  }

  @Override
  protected void append(ILoggingEvent event) {
    int free = getRemainingCapacity();
    if (free == 0 || (free < SCARCE && minor.contains(event.getMessage()))) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }

  /**
   * Lines that were not written.
   *
   * @return how many since the start
   */
  public long dropped() {
    return dropped.get();
  }
}
