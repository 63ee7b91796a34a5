package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.session.ErrorCode;

class ForwardPolicyTest {
  private static final long DEADLINE = 1_000;

  private static Optional<ErrorCode> after(ForwardPolicy.Attempt attempt, int attempts, long now) {
    return ForwardPolicy.after(attempt, attempts, now, DEADLINE).map(RetryPolicy.Step.GiveUp::code);
  }

  private static ForwardPolicy.Attempt read(boolean sent) {
    return new ForwardPolicy.Attempt(sent, false, false, false, false);
  }

  @Nested
  class Reads {
    @Test
    void should_be_sent_to_another_home_even_if_they_may_have_run() {
      assertThat(after(read(true), 1, 500)).isEmpty();
    }

    @Test
    void should_be_given_up_at_the_deadline_or_after_the_last_attempt() {
      assertThat(after(read(true), 1, DEADLINE)).contains(ErrorCode.TIMEOUT);
      assertThat(after(read(false), ForwardPolicy.MAX_ATTEMPTS, 10)).contains(ErrorCode.BUSY);
    }
  }

  @Nested
  class Writes {
    @Test
    void should_be_sent_to_another_home_if_they_were_not_sent() {
      assertThat(after(new ForwardPolicy.Attempt(false, true, false, false, false), 1, 10))
          .isEmpty();
    }

    @Test
    void should_be_in_doubt_once_sent() {
      assertThat(after(new ForwardPolicy.Attempt(true, true, false, false, false), 1, 10))
          .contains(ErrorCode.IN_DOUBT);
    }
  }

  @Nested
  class Transactions {
    @Test
    void should_be_in_doubt_when_a_commit_of_writes_gets_no_answer() {
      assertThat(after(new ForwardPolicy.Attempt(true, false, true, true, true), 1, 10))
          .contains(ErrorCode.IN_DOUBT);
    }

    @Test
    void should_be_aborted_when_the_commit_was_not_sent() {
      assertThat(after(new ForwardPolicy.Attempt(false, false, true, true, true), 1, 10))
          .contains(ErrorCode.ABORTED);
    }

    @Test
    void should_be_aborted_when_a_statement_before_the_commit_is_lost() {
      assertThat(after(new ForwardPolicy.Attempt(true, true, false, true, true), 1, 10))
          .contains(ErrorCode.ABORTED);
      assertThat(after(new ForwardPolicy.Attempt(true, true, false, false, true), 1, 10))
          .contains(ErrorCode.ABORTED);
    }

    @Test
    void should_begin_at_another_home_when_the_first_statement_only_reads() {
      assertThat(after(new ForwardPolicy.Attempt(true, false, false, false, true), 1, 10))
          .isEmpty();
    }
  }
}
