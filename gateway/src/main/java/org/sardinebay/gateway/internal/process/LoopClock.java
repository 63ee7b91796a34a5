package org.sardinebay.gateway.internal.process;

import org.sardinebay.Clock;

/**
 * The clock of the event loop's timers. The loop reads it several times in each iteration, so it
 * takes the JVM's cheap monotonic clock and adds the time that the host was suspended, as far as
 * the periodic work has noticed it. Steps of the time of day don't change it.
 *
 * <pre>{@code
 * LoopClock loopClock = new LoopClock(Clock.system(), hostClock);
 * Eventloop.builder().withTimeProvider(loopClock::millis).build();
 * loopClock.refresh(); // in the periodic work
 * }</pre>
 */
final class LoopClock implements Clock {
  private final Clock monotonic;
  private final Clock host;
  private volatile long offsetMillis;

  /**
   * Creates a clock that shows the host clock's time.
   *
   * @param monotonic the clock that stops while the host is suspended
   * @param host the clock that includes suspensions
   */
  LoopClock(Clock monotonic, Clock host) {
    this.monotonic = monotonic;
    this.host = host;
    this.offsetMillis = host.millis() - monotonic.millis();
  }

  /** Adds the time that the host was suspended since the last call. Called on the loop's thread. */
  void refresh() {
    offsetMillis = Math.max(offsetMillis, host.millis() - monotonic.millis());
  }

  @Override
  public long millis() {
    return monotonic.millis() + offsetMillis;
  }
}
