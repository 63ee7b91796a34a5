package org.sardinebay.internal.process;

/**
 * Measures how late an event loop runs its periodic task. A process that is late itself can't tell
 * a slow answer of another process from a missing one.
 *
 * <pre>{@code
 * lag.onTick(now);
 * long lateMillis = lag.recentMillis(now);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop that it measures.
 */
public final class LoopLag {
  /** How long a late tick counts, in milliseconds. */
  private static final long MEMORY_MILLIS = 1_000;

  private final long intervalMillis;
  private long lastTickAt;
  private long worstMillis;
  private long worstAt;

  /**
   * Creates an instance without a delay.
   *
   * @param intervalMillis the intended time between two ticks, in milliseconds
   * @param now the current time in milliseconds
   */
  public LoopLag(long intervalMillis, long now) {
    this.intervalMillis = intervalMillis;
    this.lastTickAt = now;
    this.worstAt = now;
  }

  /**
   * Records a tick.
   *
   * @param now the current time in milliseconds
   * @return how late the tick is, in milliseconds
   */
  public long onTick(long now) {
    long late = lateMillis(now);
    if (late >= worstMillis || now - worstAt > MEMORY_MILLIS) {
      worstMillis = late;
      worstAt = now;
    }
    lastTickAt = now;
    return late;
  }

  /**
   * Returns the largest delay of the recent ticks, and of the one that is due.
   *
   * @param now the current time in milliseconds
   * @return milliseconds
   */
  public long recentMillis(long now) {
    long remembered = now - worstAt <= MEMORY_MILLIS ? worstMillis : 0;
    return Math.max(remembered, lateMillis(now));
  }

  private long lateMillis(long now) {
    return Math.max(0, now - lastTickAt - intervalMillis);
  }
}
