package org.sardinebay.gateway.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;

class HostClockTest {
  @Test
  void should_create_clock_that_includes_suspensions() {
    assertThat(HostClock.create()).isInstanceOf(HostClock.class);
  }

  @Test
  void should_advance_like_monotonic_clock() throws InterruptedException {
    Clock clock = HostClock.create();
    Clock steady = Clock.system();
    long earliest = steady.millis();
    long from = clock.millis();
    long latest = steady.millis();
    Thread.sleep(50);
    long least = steady.millis() - latest;
    long advance = clock.millis() - from;
    long most = steady.millis() - earliest;

    assertThat(advance).isBetween(least - 1, most + 1);
  }
}
