package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Hosts that had just started answered so late that the others took them for dead, and each of
 * these chose other hosts to forward statements to.
 */
class PeerLivenessTest {
  private static final long LATE_MILLIS = 400;

  private final PeerLiveness liveness = new PeerLiveness();

  @Nested
  class Probes {
    @Test
    void should_be_due_when_a_pending_call_and_the_host_are_silent() {
      assertThat(liveness.probeDue(1_000, OptionalLong.of(900))).isFalse();
      assertThat(liveness.probeDue(1_000, OptionalLong.of(600))).isTrue();
      assertThat(liveness.probeDue(1_000, OptionalLong.empty())).isFalse();
    }

    @Test
    void should_not_be_due_while_the_host_answers_other_calls() {
      liveness.onAnswer(900);

      assertThat(liveness.probeDue(1_000, OptionalLong.of(100))).isFalse();
    }

    @Test
    void should_be_repeated_at_an_interval_when_the_host_is_lost() {
      liveness.onUnreachable();
      liveness.onProbeSent(1_000);
      liveness.onProbeEnded();

      assertThat(liveness.probeDue(1_500, OptionalLong.empty())).isFalse();
      assertThat(liveness.probeDue(1_700, OptionalLong.empty())).isTrue();
    }
  }

  /** A host that is suspected keeps its role; others are preferred until it answers. */
  @Nested
  class Suspicion {
    @Test
    void should_follow_from_an_unanswered_probe() {
      liveness.onProbeUnanswered(1_000, 0);

      assertThat(liveness.suspected()).isTrue();
      assertThat(liveness.lost()).isFalse();
    }

    @Test
    void should_be_probed_again_before_the_host_is_lost() {
      liveness.onProbeSent(1_000);
      liveness.onProbeEnded();
      liveness.onProbeUnanswered(1_350, 0);

      assertThat(liveness.probeDue(1_350, OptionalLong.empty())).isTrue();
    }

    @Test
    void should_not_follow_from_a_late_answer_while_other_calls_are_answered() {
      liveness.onAnswer(1_000);

      liveness.onCallUnanswered(600, 1_100);

      assertThat(liveness.suspected()).isFalse();
    }

    @Test
    void should_follow_from_an_unanswered_call_if_nothing_was_heard_since() {
      liveness.onAnswer(500);

      liveness.onCallUnanswered(600, 1_100);

      assertThat(liveness.suspected()).isTrue();
    }

    @Test
    void should_end_with_an_answer() {
      liveness.onUnreachable();

      liveness.onAnswer(1_000);

      assertThat(liveness.suspected()).isFalse();
    }

    @Test
    void should_not_follow_from_an_unanswered_probe_while_this_process_is_late_itself() {
      liveness.onProbeUnanswered(1_000, LATE_MILLIS);

      assertThat(liveness.suspected()).isFalse();
    }

    @Test
    void should_follow_from_three_unanswered_probes_even_if_this_process_is_late() {
      liveness.onProbeUnanswered(1_000, LATE_MILLIS);
      liveness.onProbeUnanswered(1_350, LATE_MILLIS);
      liveness.onProbeUnanswered(1_700, LATE_MILLIS);

      assertThat(liveness.suspected()).isTrue();
    }
  }

  @Nested
  class Loss {
    @Test
    void should_follow_at_once_when_the_host_cannot_be_connected_to() {
      liveness.onUnreachable();

      assertThat(liveness.lost()).isTrue();
    }

    @Test
    void should_follow_when_a_suspected_host_stays_silent() {
      liveness.onProbeUnanswered(1_000, 0);
      liveness.onProbeUnanswered(1_400, 0);
      assertThat(liveness.lost()).isFalse();

      liveness.onProbeUnanswered(1_800, 0);

      assertThat(liveness.lost()).isTrue();
    }

    /** Guards against homes that are replaced because a large configuration occupies their link. */
    @Test
    void should_not_follow_when_an_answer_comes_a_second_late() {
      liveness.onProbeUnanswered(1_000, 0);
      liveness.onProbeUnanswered(1_400, 0);
      liveness.onAnswer(1_500);
      liveness.onProbeUnanswered(2_200, 0);

      assertThat(liveness.lost()).isFalse();
    }
  }

  @Test
  void should_not_report_silence_of_a_host_that_never_answered() {
    assertThat(liveness.silentMillis(1_000)).isEmpty();

    liveness.onAnswer(1_000);

    assertThat(liveness.silentMillis(1_250)).hasValue(250);
  }
}
