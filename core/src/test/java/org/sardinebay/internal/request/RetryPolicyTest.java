package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardinebay.session.ErrorCode;

class RetryPolicyTest {
  private static final long DEADLINE = 1_000;

  private static RetryPolicy.Step after(AttemptOutcome outcome, boolean writes) {
    return RetryPolicy.after(outcome, writes, 1, 100, DEADLINE);
  }

  private static ErrorCode code(RetryPolicy.Step step) {
    return ((RetryPolicy.Step.GiveUp) step).code();
  }

  @Nested
  class Writes {
    @Test
    void should_be_in_doubt_after_an_error_that_this_version_does_not_know() {
      assertThat(code(after(new AttemptOutcome.Refused(ErrorCode.UNKNOWN, ""), true)))
          .isEqualTo(ErrorCode.IN_DOUBT);
    }

    @Test
    void should_never_be_sent_again_without_an_answer() {
      assertThat(code(after(new AttemptOutcome.NoAnswer(), true))).isEqualTo(ErrorCode.IN_DOUBT);
    }

    @Test
    void should_be_in_doubt_when_the_lease_was_lost_before_the_answer() {
      assertThat(code(after(new AttemptOutcome.LeaseLost(), true))).isEqualTo(ErrorCode.IN_DOUBT);
    }

    @Test
    void should_be_retried_if_they_were_not_sent() {
      assertThat(after(new AttemptOutcome.NotSent(), true))
          .isInstanceOf(RetryPolicy.Step.Retry.class);
    }

    @ParameterizedTest
    @EnumSource(names = {"BUSY", "READ_ONLY", "WRONG_MEMBER", "UNKNOWN_STATEMENT"})
    void should_be_retried_if_the_member_did_not_run_them(ErrorCode code) {
      assertThat(after(new AttemptOutcome.Refused(code, ""), true))
          .isInstanceOf(RetryPolicy.Step.Retry.class);
    }

    @ParameterizedTest
    @EnumSource(names = {"FAILED", "TIMEOUT"})
    void should_not_be_retried_if_they_ran(ErrorCode code) {
      assertThat(code(after(new AttemptOutcome.Refused(code, ""), true))).isEqualTo(code);
    }
  }

  @Nested
  class Reads {
    @Test
    void should_be_retried_without_an_answer() {
      assertThat(after(new AttemptOutcome.NoAnswer(), false))
          .isInstanceOf(RetryPolicy.Step.Retry.class);
    }

    @Test
    void should_be_given_up_after_the_last_attempt() {
      RetryPolicy.Step step =
          RetryPolicy.after(
              new AttemptOutcome.NoAnswer(), false, RetryPolicy.MAX_ATTEMPTS, 100, DEADLINE);

      assertThat(code(step)).isEqualTo(ErrorCode.TIMEOUT);
    }

    @Test
    void should_be_given_up_at_the_deadline() {
      RetryPolicy.Step step =
          RetryPolicy.after(
              new AttemptOutcome.Refused(ErrorCode.LAGGING, ""), false, 1, DEADLINE, DEADLINE);

      assertThat(code(step)).isEqualTo(ErrorCode.BUSY);
    }
  }

  @Nested
  class InTransactions {
    private RetryPolicy.Step after(AttemptOutcome outcome, boolean open, boolean commitsWrites) {
      return RetryPolicy.inTransaction(
          outcome, open, commitsWrites, commitsWrites, 1, 100, DEADLINE);
    }

    @Test
    void should_retry_a_busy_member_while_the_transaction_is_open() {
      AttemptOutcome busy = new AttemptOutcome.Refused(ErrorCode.BUSY, "");

      assertThat(after(busy, true, false)).isInstanceOf(RetryPolicy.Step.Retry.class);
      assertThat(code(after(busy, false, false))).isEqualTo(ErrorCode.BUSY);
    }

    @Test
    void should_retry_a_commit_after_an_error_that_may_be_an_earlier_requests() {
      assertThat(after(unproven(ErrorCode.BUSY), true, true))
          .isInstanceOf(RetryPolicy.Step.Retry.class);
      assertThat(code(after(unproven(ErrorCode.READ_ONLY), true, true)))
          .isEqualTo(ErrorCode.IN_DOUBT);
    }

    @Test
    void should_be_aborted_after_an_error_of_a_statement_that_may_be_an_earlier_requests() {
      assertThat(code(after(unproven(ErrorCode.BUSY), true, false))).isEqualTo(ErrorCode.ABORTED);
    }

    @Test
    void should_be_aborted_after_an_unproven_error_of_a_commit_without_writes() {
      RetryPolicy.Step step =
          RetryPolicy.inTransaction(
              unproven(ErrorCode.READ_ONLY), true, true, false, 1, 100, DEADLINE);

      assertThat(code(step)).isEqualTo(ErrorCode.ABORTED);
    }

    private AttemptOutcome unproven(ErrorCode code) {
      return new AttemptOutcome.Unproven(Optional.of(code));
    }

    @Test
    void should_be_in_doubt_once_a_commit_of_writes_was_sent() {
      assertThat(code(after(new AttemptOutcome.NoAnswer(), true, true)))
          .isEqualTo(ErrorCode.IN_DOUBT);
    }

    @Test
    void should_be_aborted_when_the_commit_was_not_sent() {
      assertThat(code(after(new AttemptOutcome.NotSent(), true, true)))
          .isEqualTo(ErrorCode.ABORTED);
    }

    @Test
    void should_be_aborted_when_a_commit_without_writes_gets_no_answer() {
      assertThat(code(after(new AttemptOutcome.NoAnswer(), true, false)))
          .isEqualTo(ErrorCode.ABORTED);
    }
  }
}
