package org.sardinebay;

/**
 * A monotonic clock in milliseconds.
 *
 * <pre>{@code
 * long started = clock.millis();
 * long elapsedMillis = clock.millis() - started;
 * }</pre>
 *
 * Only differences between two readings of one clock have a meaning.
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
   * The clock of the running machine.
   *
   * @return a clock that reads the system's monotonic time
   */
  static Clock system() {
    return () -> System.nanoTime() / NANOS_PER_MILLI;
  }
}
