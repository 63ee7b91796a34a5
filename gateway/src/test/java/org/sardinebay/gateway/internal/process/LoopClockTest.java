package org.sardinebay.gateway.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class LoopClockTest {
  private final AtomicLong monotonic = new AtomicLong(100);
  private final AtomicLong host = new AtomicLong(5_000);
  private final LoopClock clock = new LoopClock(monotonic::get, host::get);

  @Test
  void should_show_the_host_clocks_time() {
    assertThat(clock.millis()).isEqualTo(5_000);
  }

  @Test
  void should_advance_with_the_monotonic_clock() {
    monotonic.addAndGet(50);

    assertThat(clock.millis()).isEqualTo(5_050);
  }

  @Test
  void should_include_a_suspension_once_refreshed() {
    monotonic.addAndGet(50);
    host.addAndGet(3_050);
    clock.refresh();

    assertThat(clock.millis()).isEqualTo(8_050);
  }

  @Test
  void should_not_go_back_when_the_host_clock_can_not_be_read() {
    host.set(0);
    clock.refresh();

    assertThat(clock.millis()).isEqualTo(5_000);
  }
}
