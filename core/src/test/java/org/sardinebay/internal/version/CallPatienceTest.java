package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallPatienceTest {
  private final CallPatience patience = new CallPatience();

  @Test
  void should_wait_longer_after_each_missing_answer_up_to_a_limit() {
    patience.unanswered();
    assertThat(patience.timeoutMillis()).isEqualTo(2 * CallPatience.INITIAL_TIMEOUT_MILLIS);
    patience.unanswered();
    patience.unanswered();
    assertThat(patience.timeoutMillis()).isEqualTo(CallPatience.MAX_TIMEOUT_MILLIS);
  }

  @Test
  void should_wait_little_again_once_an_answer_came() {
    patience.unanswered();
    patience.answered();
    assertThat(patience.timeoutMillis()).isEqualTo(CallPatience.INITIAL_TIMEOUT_MILLIS);
  }
}
