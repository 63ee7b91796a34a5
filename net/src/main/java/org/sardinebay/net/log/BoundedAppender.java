package org.sardinebay.net.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a separate thread and never blocks. If lines arrive faster than they can be
 * written, it drops low-priority events first, then all events, and counts the dropped lines.
 */
public final class BoundedAppender extends AsyncAppender {
  /** The queue capacity in lines: several seconds of logging at peak load. */
  public static final int QUEUE_LINES = 2_048;

  /** Below this remaining queue capacity, in lines, low-priority events are dropped. */
  private static final int LOW_CAPACITY_LINES = QUEUE_LINES / 4;

  private final Set<String> lowPriorityEvents;
  private final AtomicLong dropped = new AtomicLong();

  /**
   * Creates an appender that is not started.
   *
   * @param lowPriorityEvents events that are dropped first
   */
  public BoundedAppender(Set<String> lowPriorityEvents) {
    this.lowPriorityEvents = Set.copyOf(lowPriorityEvents);
    setQueueSize(QUEUE_LINES);
    setDiscardingThreshold(0);
    setNeverBlock(true);
  }

  @Override
  protected void append(ILoggingEvent event) {
    int free = getRemainingCapacity();
    if (free == 0
        || (free < LOW_CAPACITY_LINES && lowPriorityEvents.contains(event.getMessage()))) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }

  /**
   * Returns the number of dropped lines.
   *
   * @return the count since the appender was created
   */
  public long dropped() {
    return dropped.get();
  }
}
