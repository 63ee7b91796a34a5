package org.sardinebay.internal.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a rejected host that calls the store as often as all others together. */
class RetryBackoffTest {
  private final RetryBackoff backoff = new RetryBackoff(250, 1_000);

  @Nested
  class StoreThatRejectsAHostForNineSeconds {
    @Test
    void should_be_called_about_once_a_second_and_found_again_within_one() {
      long now = 0;
      int calls = 0;
      long delay = 0;
      while (now < 9_000) {
        calls++;
        delay = backoff.onFailure();
        now += delay;
      }

      assertTrue(calls <= 11, calls + " calls");
      assertTrue(delay <= 1_000, delay + " ms");
    }
  }

  @Nested
  class SingleFailure {
    @Test
    void should_be_followed_by_a_quick_retry_each_time() {
      assertEquals(250, backoff.onFailure());
      backoff.onSuccess();
      assertEquals(250, backoff.onFailure());
    }
  }
}
