package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallPatienceTest {
  private final CallPatience patience = new CallPatience();

  @Test
  void should_increase_the_timeout_after_each_missing_reply_up_to_a_maximum() {
    patience.unanswered();
    assertThat(patience.timeoutMillis()).isEqualTo(2 * CallPatience.INITIAL_TIMEOUT_MILLIS);
    patience.unanswered();
    patience.unanswered();
    assertThat(patience.timeoutMillis()).isEqualTo(CallPatience.MAX_TIMEOUT_MILLIS);
  }

  @Test
  void should_reset_the_timeout_after_a_reply() {
    patience.unanswered();
    patience.answered();
    assertThat(patience.timeoutMillis()).isEqualTo(CallPatience.INITIAL_TIMEOUT_MILLIS);
  }
}
