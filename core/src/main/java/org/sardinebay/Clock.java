package org.sardinebay;

/**
 * A monotonic clock in milliseconds.
 *
 * <pre>{@code
 * long started = clock.millis();
 * long elapsedMillis = clock.millis() - started;
 * }</pre>
 *
 * Only the difference between two readings of the same clock is meaningful.
 */
@FunctionalInterface
public interface Clock {
  /** Nanoseconds in a millisecond. */
  long NANOS_PER_MILLI = 1_000_000L;

  /**
   * The current reading.
   *
   * @return milliseconds since an arbitrary origin; never decreases
   */
  long millis();

  /**
   * The system's monotonic clock.
   *
   * @return a clock based on {@link System#nanoTime()}
   */
  static Clock system() {
    return () -> System.nanoTime() / NANOS_PER_MILLI;
  }
}
