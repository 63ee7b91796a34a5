package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Position;
import org.sardinebay.internal.connection.AnswerMatcher.Reason;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.MemberMessage;
import org.sardinebay.session.TransactionState;

/** Guards against an answer that is taken for the answer to another request of its connection. */
class AnswerMatcherTest {
  private final AnswerMatcher matcher = new AnswerMatcher();

  private static MemberMessage row(String text) {
    return new MemberMessage.Row(text);
  }

  private static MemberMessage done(String signature) {
    return new MemberMessage.Done(Optional.of(signature));
  }

  private static MemberMessage done() {
    return new MemberMessage.Done(Optional.empty());
  }

  private static MemberMessage error(ErrorCode code) {
    return new MemberMessage.Failed(code, "m-1");
  }

  private static MemberMessage ready(TransactionState state, long index) {
    return new MemberMessage.Ready(state, Optional.of(new Position(1, index)));
  }

  private static MemberMessage idle(long index) {
    return ready(TransactionState.IDLE, index);
  }

  private static MemberMessage open(long index) {
    return ready(TransactionState.OPEN, index);
  }

  private AnswerMatcher.Result answer(MemberMessage... messages) {
    AnswerMatcher.Result result = null;
    for (MemberMessage message : messages) {
      result = matcher.accept(message);
    }
    return result;
  }

  private AnswerMatcher.Result exchange(AnswerKind kind, MemberMessage... messages) {
    matcher.expect(kind);
    return answer(messages);
  }

  private static AnswerMatcher.Result rejected(Reason reason) {
    return new AnswerMatcher.Rejected(reason);
  }

  private static AnswerMatcher.Matched matched(AnswerMatcher.Result result) {
    assertThat(result).isInstanceOf(AnswerMatcher.Matched.class);
    return (AnswerMatcher.Matched) result;
  }

  @BeforeEach
  void startSession() {
    matched(exchange(AnswerKind.SESSION_START, idle(1)));
  }

  @Nested
  class SignedAnswers {
    @Test
    void should_match_rows_and_signature() {
      AnswerMatcher.Matched read =
          matched(exchange(AnswerKind.READ, row("a"), row("b"), done("s1"), idle(1)));

      assertThat(read.rows()).containsExactly("a", "b");
      assertThat(read.signature()).contains("s1");
      assertThat(read.proven()).isTrue();
      assertThat(matcher.reusable()).isTrue();
    }

    @Test
    void should_pass_over_an_answer_that_comes_twice() {
      exchange(AnswerKind.READ, row("a"), done("s1"), idle(1));

      assertThat(exchange(AnswerKind.READ, row("a"), done("s1"), idle(1)))
          .isEqualTo(new AnswerMatcher.Repeated());
      assertThat(matched(answer(row("b"), done("s2"), idle(1))).rows()).containsExactly("b");
      assertThat(matcher.reusable()).isFalse();
    }

    @Test
    void should_not_take_an_acknowledgement_for_the_success_of_a_statement() {
      assertThat(exchange(AnswerKind.READ, done(), idle(1)))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_pass_over_a_late_acknowledgement_of_the_preparation() {
      exchange(AnswerKind.SESSION_STATE, done(), idle(1));

      assertThat(exchange(AnswerKind.READ, done(), idle(1)))
          .isEqualTo(new AnswerMatcher.Repeated());
      assertThat(matched(answer(row("a"), done("s1"), idle(1))).signature()).contains("s1");
    }

    @Test
    void should_reject_a_known_signature_with_other_rows() {
      exchange(AnswerKind.READ, row("a"), done("s1"), idle(1));

      assertThat(exchange(AnswerKind.READ, row("b"), done("s1"), idle(1)))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_not_join_the_rows_of_a_repetition_that_was_cut_off() {
      exchange(AnswerKind.READ, row("a"), done("s1"), idle(1));

      assertThat(exchange(AnswerKind.READ, row("a"), row("b"), done("s2"), idle(1)))
          .isEqualTo(rejected(Reason.UNPROVEN));
    }

    @Test
    void should_reject_a_write_with_the_rows_of_a_repetition_that_was_cut_off() {
      exchange(AnswerKind.READ, row("a"), done("s1"), idle(1));

      assertThat(exchange(AnswerKind.WRITE, row("a"), done("s2"), idle(1)))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_reject_a_commit_with_rows() {
      exchange(AnswerKind.READ, row("a"), done("s1"), idle(1));

      assertThat(exchange(AnswerKind.COMMIT, row("a"), done("s2"), idle(1)))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_match_rows_that_were_read_before() {
      exchange(AnswerKind.READ, row("a"), row("b"), done("s1"), idle(1));

      assertThat(matched(exchange(AnswerKind.READ, row("a"), row("b"), done("s2"), idle(1))))
          .isNotNull();
    }

    @Test
    void should_reject_a_statement_that_ran_outside_its_transaction() {
      exchange(AnswerKind.TRANSACTION_START, done(), open(1));

      assertThat(exchange(AnswerKind.READ, row("a"), done("s1"), idle(1)))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_give_a_connection_up_before_its_history_grows_without_bound() {
      for (int i = 0; i < AnswerMatcher.MAX_REMEMBERED_ANSWERS; i++) {
        assertThat(matcher.reusable()).isTrue();
        exchange(AnswerKind.READ, row("a"), done("s" + i), idle(1));
      }
      assertThat(matcher.reusable()).isFalse();
    }
  }

  @Nested
  class Errors {
    @Test
    void should_believe_an_error_that_the_connection_has_not_seen() {
      AnswerMatcher.Matched busy =
          matched(exchange(AnswerKind.READ, error(ErrorCode.BUSY), idle(1)));

      assertThat(busy.failure()).isPresent();
      assertThat(busy.proven()).isTrue();
    }

    @Test
    void should_not_believe_an_error_that_reads_like_an_earlier_one() {
      exchange(AnswerKind.READ, error(ErrorCode.BUSY), idle(1));

      assertThat(matched(exchange(AnswerKind.READ, error(ErrorCode.BUSY), idle(1))).proven())
          .isFalse();
      assertThat(matcher.errorsProven()).isFalse();
      assertThat(matcher.reusable()).isFalse();
    }

    @Test
    void should_not_believe_an_error_after_a_repeated_answer() {
      exchange(AnswerKind.SESSION_STATE, done(), idle(1));
      exchange(AnswerKind.READ, done(), idle(1));

      assertThat(matched(answer(error(ErrorCode.BUSY), idle(1))).proven()).isFalse();
    }

    @Test
    void should_not_believe_a_cut_off_error_that_the_repeated_opening_ends() {
      exchange(AnswerKind.READ, error(ErrorCode.BUSY), idle(2));

      assertThat(matched(exchange(AnswerKind.READ, error(ErrorCode.BUSY), idle(1))).proven())
          .isFalse();
    }

    @Test
    void should_reject_rows_before_an_error() {
      assertThat(exchange(AnswerKind.READ, row("a"), error(ErrorCode.FAILED), idle(1)))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_match_the_error_of_a_refused_session_without_a_ready_message() {
      AnswerMatcher opening = new AnswerMatcher();
      opening.expect(AnswerKind.SESSION_START);
      opening.accept(error(ErrorCode.TOO_MANY_CONNECTIONS));

      assertThat(opening.end()).isPresent();
    }

    @Test
    void should_not_believe_a_repeated_error_that_the_end_of_the_connection_follows() {
      exchange(AnswerKind.WRITE, error(ErrorCode.BUSY), idle(1));
      matcher.expect(AnswerKind.WRITE);
      matcher.accept(error(ErrorCode.BUSY));

      assertThat(matcher.end()).isEmpty();
    }

    @Test
    void should_not_match_an_answer_that_was_cut_off() {
      matcher.expect(AnswerKind.READ);
      answer(row("a"), done("s1"));

      assertThat(matcher.end()).isEmpty();
    }
  }

  @Nested
  class AnswersWithoutSignature {
    @Test
    void should_pass_over_a_repeated_opening() {
      assertThat(exchange(AnswerKind.SESSION_STATE, idle(1)))
          .isEqualTo(new AnswerMatcher.Repeated());
    }

    @Test
    void should_not_take_an_earlier_status_for_a_newer_one() {
      exchange(AnswerKind.STATUS, row("replica 1 1.1 0 0 1 5"), done(), idle(1));

      assertThat(exchange(AnswerKind.STATUS, row("replica 1 1.1 0 0 1 5"), done(), idle(1)))
          .isEqualTo(rejected(Reason.UNPROVEN));
    }

    @Test
    void should_not_take_a_cut_off_status_that_a_later_answer_ends_for_a_newer_one() {
      exchange(AnswerKind.STATUS, row("replica 1 1.1 0 0 1 5"), done(), idle(2));

      assertThat(exchange(AnswerKind.STATUS, row("replica 1 1.1 0 0 1 5"), done(), idle(1)))
          .isEqualTo(rejected(Reason.UNPROVEN));
    }

    @Test
    void should_match_a_status_that_differs_from_the_earlier_ones() {
      exchange(AnswerKind.STATUS, row("replica 1 1.1 0 0 1 5"), done(), idle(1));

      matched(exchange(AnswerKind.STATUS, row("replica 1 1.2 0 0 1 5"), done(), idle(2)));
    }

    @Test
    void should_not_take_an_acknowledgement_for_a_status() {
      exchange(AnswerKind.SESSION_STATE, done(), idle(1));

      assertThat(exchange(AnswerKind.STATUS, done(), idle(1)))
          .isEqualTo(new AnswerMatcher.Repeated());
    }

    @Test
    void should_not_take_an_earlier_start_of_a_transaction_for_a_newer_one() {
      exchange(AnswerKind.TRANSACTION_START, done(), open(1));
      exchange(AnswerKind.COMMIT, done("s1"), idle(1));

      assertThat(exchange(AnswerKind.TRANSACTION_START, done(), open(1)))
          .isEqualTo(rejected(Reason.UNPROVEN));
    }

    @Test
    void should_not_take_the_acknowledgement_of_a_value_for_the_start_of_a_transaction() {
      exchange(AnswerKind.SESSION_STATE, done(), idle(1));

      assertThat(exchange(AnswerKind.TRANSACTION_START, done(), idle(1)))
          .isEqualTo(new AnswerMatcher.Repeated());
      assertThat(matcher.state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void should_not_believe_that_a_transaction_ended_from_an_earlier_acknowledgement() {
      exchange(AnswerKind.SESSION_STATE, done(), idle(1));
      exchange(AnswerKind.TRANSACTION_START, done(), open(1));

      assertThat(exchange(AnswerKind.SESSION_STATE, done(), idle(1)))
          .isEqualTo(new AnswerMatcher.Repeated());
      assertThat(matcher.state()).isEqualTo(TransactionState.OPEN);
    }
  }

  @Nested
  class Messages {
    @Test
    void should_reject_any_message_while_no_request_is_outstanding() {
      assertThat(answer(done())).isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_reject_messages_in_another_order() {
      assertThat(exchange(AnswerKind.READ, done("s1"), row("a")))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_reject_a_message_that_cannot_be_read() {
      assertThat(exchange(AnswerKind.READ, new MemberMessage.Unreadable("?")))
          .isEqualTo(rejected(Reason.OUT_OF_STEP));
    }

    @Test
    void should_refuse_a_second_request_while_one_is_outstanding() {
      matcher.expect(AnswerKind.READ);

      assertThatThrownBy(() -> matcher.expect(AnswerKind.READ))
          .isInstanceOf(IllegalStateException.class);
    }

    @Test
    void should_report_an_incomplete_answer() {
      assertThat(exchange(AnswerKind.READ, row("a"))).isEqualTo(new AnswerMatcher.Incomplete());
      assertThat(List.of(matcher.awaiting())).containsExactly(true);
    }
  }
}
