package org.sardinebay.gateway.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class GatewayLoopTest {
  private static final long DAY_MILLIS = 86_400_000;

  @Test
  void should_not_depend_on_the_time_of_day() {
    AtomicLong monotonic = new AtomicLong(DAY_MILLIS);
    Eventloop loop = GatewayProcess.loop(new LoopClock(monotonic::get, monotonic::get));

    assertThat(loop.currentTimeMillis()).isEqualTo(DAY_MILLIS);
  }
}
