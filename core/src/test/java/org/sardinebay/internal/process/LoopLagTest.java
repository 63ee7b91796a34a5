package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LoopLagTest {
  private final LoopLag lag = new LoopLag(50, 0);

  @Test
  void should_be_zero_while_ticks_are_on_time() {
    lag.onTick(50);
    lag.onTick(100);

    assertThat(lag.recentMillis(150)).isZero();
  }

  @Test
  void should_include_the_tick_that_is_due() {
    lag.onTick(50);

    assertThat(lag.recentMillis(300)).isEqualTo(200);
  }

  @Test
  void should_remember_a_late_tick_for_a_second() {
    lag.onTick(400);
    lag.onTick(450);

    assertThat(lag.recentMillis(500)).isEqualTo(350);
    for (long now = 500; now <= 1_450; now += 50) {
      lag.onTick(now);
    }
    assertThat(lag.recentMillis(1_500)).isZero();
  }
}
