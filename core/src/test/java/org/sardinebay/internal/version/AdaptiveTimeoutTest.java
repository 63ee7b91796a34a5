package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AdaptiveTimeoutTest {
  private final AdaptiveTimeout timeout = new AdaptiveTimeout();

  @Test
  void should_increase_the_timeout_after_each_missing_reply_up_to_a_maximum() {
    timeout.timedOut();
    assertThat(timeout.timeoutMillis()).isEqualTo(2 * AdaptiveTimeout.INITIAL_TIMEOUT_MILLIS);
    timeout.timedOut();
    timeout.timedOut();
    assertThat(timeout.timeoutMillis()).isEqualTo(AdaptiveTimeout.MAX_TIMEOUT_MILLIS);
  }

  @Test
  void should_reset_the_timeout_after_a_reply() {
    timeout.timedOut();
    timeout.onReply();
    assertThat(timeout.timeoutMillis()).isEqualTo(AdaptiveTimeout.INITIAL_TIMEOUT_MILLIS);
  }
}
