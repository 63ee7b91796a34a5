package org.sardinebay.internal.process;

import java.util.OptionalLong;

/**
 * Limits how many lines of one event are logged in a second, for events that callers can cause as
 * often as they like: a caller whose key was withdrawn may return hundreds of times a second, right
 * after a start too, when each line takes processor time from the callers that can be served.
 *
 * <pre>{@code
 * OptionalLong suppressed = throttle.admit(now);
 * suppressed.ifPresent(count -> log(event, count));
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class LogThrottle {
  private static final long INTERVAL_MILLIS = 1_000;

  private final int linesPerSecond;
  private long intervalStart = Long.MIN_VALUE / 2;
  private int lines;
  private long suppressed;
  private long events;

  /**
   * Creates a throttle.
   *
   * @param linesPerSecond the most lines to log within a second
   */
  public LogThrottle(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Counts an event and decides whether to log it.
   *
   * @param now the current time in milliseconds
   * @return the number of events since the last logged one; empty if this one is not to be logged
   */
  public OptionalLong admit(long now) {
    events++;
    if (now - intervalStart >= INTERVAL_MILLIS) {
      intervalStart = now;
      lines = 0;
    }
    if (lines == linesPerSecond) {
      suppressed++;
      return OptionalLong.empty();
    }
    lines++;
    long unlogged = suppressed;
    suppressed = 0;
    return OptionalLong.of(unlogged);
  }

  /**
   * Returns how often the event happened.
   *
   * @return the number of events, logged or not
   */
  public long events() {
    return events;
  }
}
