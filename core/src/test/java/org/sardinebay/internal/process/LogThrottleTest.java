package org.sardinebay.internal.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a caller that fills the log, and against events that the log doesn't count. */
class LogThrottleTest {
  private final LogThrottle throttle = new LogThrottle(3);

  @Nested
  class CallerThatReturnsTwoHundredTimesASecond {
    @Test
    void should_get_three_lines_a_second_that_account_for_all_its_events() {
      long lines = 0;
      long suppressed = 0;
      for (long now = 0; now < 10_000; now += 5) {
        OptionalLong admitted = throttle.admit(now);
        lines += admitted.isPresent() ? 1 : 0;
        suppressed += admitted.orElse(0);
      }
      suppressed += throttle.admit(20_000).orElseThrow();

      assertEquals(30, lines);
      assertEquals(2_001, throttle.events());
      assertEquals(2_000 - 30, suppressed);
    }
  }
}
