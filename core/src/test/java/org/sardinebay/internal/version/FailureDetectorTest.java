package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FailureDetectorTest {
  private static final String MEMBER = "contracts-1-a";

  private final FailureDetector<String> detector = new FailureDetector<>(0);

  @Nested
  class Silence {
    @Test
    void should_be_suspected_after_half_a_second_of_polls_without_a_reply() {
      detector.onReply(MEMBER, 0);

      pollUntil(400);
      boolean suspectedEarly = detector.suspects(MEMBER, 400);
      pollUntil(500);

      assertThat(suspectedEarly).isFalse();
      assertThat(detector.suspects(MEMBER, 500)).isTrue();
    }

    @Test
    void should_end_with_a_reply() {
      pollUntil(900);

      detector.onReply(MEMBER, 900);

      assertThat(detector.silentMillis(MEMBER, 950)).isEqualTo(50);
    }

    @Test
    void should_be_measured_from_the_start_for_a_member_that_never_replied() {
      pollUntil(600);

      assertThat(detector.silentMillis(MEMBER, 600)).isEqualTo(600);
    }
  }

  @Nested
  class OwnPause {
    @Test
    void should_restart_the_silence_at_the_next_poll() {
      detector.onReply(MEMBER, 0);

      detector.onPoll(5_000);

      assertThat(detector.silentMillis(MEMBER, 5_100)).isEqualTo(100);
    }

    @Test
    void should_not_count_as_silence_before_the_next_poll() {
      detector.onReply(MEMBER, 0);

      assertThat(detector.suspects(MEMBER, 5_000)).isFalse();
    }
  }

  private void pollUntil(long millis) {
    for (long now = 0; now <= millis; now += 100) {
      detector.onPoll(now);
    }
  }
}
