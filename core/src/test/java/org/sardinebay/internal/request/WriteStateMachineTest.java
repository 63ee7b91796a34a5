package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Answer;
import org.sardinebay.Failure;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.version.AckPolicy;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.internal.version.Samples;
import org.sardinebay.record.AckPolicyName;

class WriteStateMachineTest {
  private static final long NOW = 1_000;

  private final DatabaseView view = new DatabaseView(Samples.DATABASE, Samples.FAIL_ON_VIOLATION);
  private final WriteStateMachine stateMachine =
      new WriteStateMachine(
          new RequestDeadline(NOW + 500),
          AckPolicy.named(AckPolicyName.MAJORITY),
          Optional.of("key"),
          false);

  @BeforeEach
  void observeMembers() {
    view.observe(Samples.primary(Samples.A, 1, 1, 4), NOW, NOW);
    view.observe(Samples.replica(Samples.B, 1, 4, 4), NOW, NOW);
  }

  private static EndpointReply done(long term, long index) {
    return new EndpointReply.Done(List.of("ok"), new Position(term, index), false);
  }

  private static EndpointReply refused(EndpointRefusal refusal) {
    return new EndpointReply.Refused(refusal, 1, Position.ZERO);
  }

  private static Class<?> outcome(WriteStep step) {
    return ((WriteStep.Finish) step).answer().getClass();
  }

  @Nested
  class BeforeSending {
    @Test
    void should_send_to_the_primary_of_the_newest_term() {
      assertThat(stateMachine.next(view, NOW)).isEqualTo(new WriteStep.Send(Samples.A, 1));
    }

    @Test
    void should_answer_not_run_before_sending_when_no_majority_answers() {
      WriteStep step = stateMachine.next(view, NOW + DatabaseView.REACHABLE_MILLIS + 1);

      assertThat(step)
          .isEqualTo(
              new WriteStep.Finish(
                  new Answer.NotRun(
                      new Failure.MajorityUnreachable(Samples.DATABASE.id()),
                      WriteStateMachine.RETRY_AFTER_PARTITION_MILLIS)));
    }

    @Test
    void should_answer_not_run_while_a_newer_term_has_no_primary() {
      view.observe(Samples.replica(Samples.C, 2, 4, 4), NOW, NOW);

      assertThat(outcome(stateMachine.next(view, NOW))).isEqualTo(Answer.NotRun.class);
    }
  }

  @Nested
  class Acknowledgement {
    @Test
    void should_wait_until_a_majority_confirms() {
      stateMachine.next(view, NOW);
      WriteStep stepAfterReply = stateMachine.onReply(done(1, 5), view, NOW);

      view.observe(Samples.replica(Samples.B, 1, 5, 4), NOW, NOW);
      view.observe(Samples.primary(Samples.A, 1, 1, 5), NOW, NOW);

      assertThat(stepAfterReply).isInstanceOf(WriteStep.AwaitAck.class);
      assertThat(outcome(stateMachine.onViewChanged(view, NOW))).isEqualTo(Answer.Done.class);
    }

    @Test
    void should_not_acknowledge_an_entry_that_a_promotion_dropped() {
      stateMachine.next(view, NOW);
      stateMachine.onReply(done(1, 5), view, NOW);

      view.observe(Samples.primary(Samples.B, 2, 5, 5), NOW, NOW);
      view.observe(Samples.replica(Samples.C, 2, 5, 5), NOW, NOW);

      assertThat(stateMachine.onViewChanged(view, NOW)).isEqualTo(new WriteStep.Send(Samples.B, 2));
    }

    @Test
    void should_answer_unknown_at_the_deadline_when_the_entry_is_not_confirmed() {
      stateMachine.next(view, NOW);
      stateMachine.onReply(done(1, 5), view, NOW);

      assertThat(outcome(stateMachine.onViewChanged(view, NOW + 500)))
          .isEqualTo(Answer.Unknown.class);
    }
  }

  @Nested
  class InDoubt {
    @Test
    void should_never_answer_not_run_after_a_missing_reply() {
      stateMachine.next(view, NOW);
      stateMachine.onReply(new EndpointReply.NoReply(), view, NOW);

      assertThat(outcome(stateMachine.next(view, NOW + 500))).isEqualTo(Answer.Unknown.class);
    }

    @Test
    void should_resend_with_the_same_key_after_a_missing_reply() {
      stateMachine.next(view, NOW);
      WriteStep stepAfterReply = stateMachine.onReply(new EndpointReply.Crossed(), view, NOW);

      assertThat(stepAfterReply).isInstanceOf(WriteStep.Pause.class);
      assertThat(stateMachine.next(view, NOW)).isInstanceOf(WriteStep.Send.class);
    }

    @Test
    void should_stay_in_doubt_when_a_later_attempt_is_refused() {
      stateMachine.next(view, NOW);
      stateMachine.onReply(new EndpointReply.NoReply(), view, NOW);
      stateMachine.next(view, NOW);

      WriteStep step = stateMachine.onReply(refused(EndpointRefusal.SLOT_TIMEOUT), view, NOW);

      assertThat(outcome(step)).isEqualTo(Answer.Unknown.class);
    }

    @Test
    void should_answer_not_run_once_the_key_is_revoked() {
      stateMachine.next(view, NOW);
      stateMachine.onReply(new EndpointReply.NoReply(), view, NOW);
      stateMachine.next(view, NOW);

      WriteStep step = stateMachine.onReply(refused(EndpointRefusal.REVOKED), view, NOW);

      assertThat(outcome(step)).isEqualTo(Answer.NotRun.class);
      assertThat(stateMachine.keyRevoked()).isTrue();
    }

    @Test
    void should_answer_not_run_after_a_refusal_of_the_only_attempt() {
      stateMachine.next(view, NOW);

      WriteStep step = stateMachine.onReply(refused(EndpointRefusal.STALE_TERM), view, NOW);

      assertThat(outcome(step)).isEqualTo(Answer.NotRun.class);
    }
  }
}
