package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.HostId;

class QuotaTokensTest {
  private static final HostId NEAR = new HostId("near");
  private static final HostId MIDDLE = new HostId("middle");
  private static final HostId FAR = new HostId("far");

  private final Set<HostId> silent = new HashSet<>();
  private final QuotaTokens<String> tokens = new QuotaTokens<>(host -> !silent.contains(host), 0);

  @BeforeEach
  void setKeepers() {
    tokens.setKeepers(List.of(FAR, MIDDLE, NEAR), List.of(NEAR, MIDDLE, FAR));
  }

  private static QuotaStep.Ask<String> asked(List<QuotaStep<String>> steps) {
    return (QuotaStep.Ask<String>) steps.get(steps.size() - 1);
  }

  private static QuotaStep<String> run(String statement) {
    return new QuotaStep.Run<>(statement);
  }

  @Nested
  class Calls {
    @Test
    void should_ask_the_nearest_keeper_first() {
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("a", 0));

      assertThat(ask.keeper()).isEqualTo(NEAR);
      assertThat(ask.shard()).isEqualTo(2);
      assertThat(ask.wanted()).isEqualTo(1);
    }

    /** Guards against a round trip for each of the statements that wait at the same time. */
    @Test
    void should_share_one_call_among_statements_that_wait() {
      QuotaStep.Ask<String> first = asked(tokens.onStatement("a", 0));
      assertThat(tokens.onStatement("b", 1)).isEmpty();
      assertThat(tokens.onStatement("c", 1)).isEmpty();

      List<QuotaStep<String>> steps = tokens.onReply(first, 1, 0, 2);

      assertThat(steps.get(0)).isEqualTo(run("a"));
      assertThat(asked(steps).wanted()).isEqualTo(2);
    }

    @Test
    void should_not_ask_a_keeper_again_before_the_time_it_gave() {
      QuotaStep.Ask<String> first = asked(tokens.onStatement("a", 0));

      assertThat(asked(tokens.onReply(first, 0, 90, 2)).keeper()).isNotEqualTo(NEAR);
    }

    /** Guards against a quota that is used up by statements that were rejected without a run. */
    @Test
    void should_use_the_token_of_a_statement_that_was_not_run_for_the_next_one() {
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("a", 0));
      tokens.onReply(ask, 1, 0, 2);

      tokens.onNotRun(300);

      assertThat(tokens.onStatement("b", 310)).containsExactly(run("b"));
      assertThat(tokens.counts().used()).isEqualTo(1);
    }

    @Test
    void should_run_a_waiting_statement_with_a_token_that_is_given_back() {
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("a", 0));
      tokens.onReply(ask, 1, 0, 2);
      tokens.onStatement("b", 10);

      assertThat(tokens.onNotRun(20)).containsExactly(run("b"));
      assertThat(tokens.waiting()).isZero();
    }

    /** The call that was in progress counts a statement that does not wait any more. */
    @Test
    void should_accept_a_reply_after_a_waiting_statement_got_a_token_that_was_given_back() {
      tokens.onReply(asked(tokens.onStatement("a", 0)), 1, 0, 2);
      QuotaStep.Ask<String> second = asked(tokens.onStatement("b", 10));
      tokens.onNotRun(20);

      assertThat(tokens.onReply(second, 0, 50, 30)).isEmpty();
    }

    @Test
    void should_ask_ahead_for_a_statement_of_a_transaction_that_began() {
      QuotaStep.Ask<String> ask = asked(tokens.onTransactionBegun(0));
      tokens.onReply(ask, 1, 0, 16);

      assertThat(tokens.onStatement("a", 20)).containsExactly(run("a"));
    }

    /** Guards against a wait for a round trip in each statement of a busy workspace. */
    @Test
    void should_ask_ahead_when_the_workspace_is_busy() {
      long now = 0;
      for (int i = 0; i < 50; i++) {
        now += 5;
        List<QuotaStep<String>> steps = tokens.onStatement("s" + i, now);
        if (!steps.isEmpty() && steps.get(steps.size() - 1) instanceof QuotaStep.Ask<String> ask) {
          tokens.onReply(ask, ask.wanted(), 0, now);
        }
      }
      assertThat(tokens.held(now)).isGreaterThan(1);
      assertThat(tokens.onStatement("last", now + 1)).contains(run("last"));
    }
  }

  @Nested
  class Validity {
    @Test
    void should_not_use_a_token_after_its_validity() {
      QuotaStep.Ask<String> ask = asked(tokens.onTransactionBegun(0));
      tokens.onReply(ask, 1, 0, 10);

      assertThat(tokens.onStatement("a", 250)).noneMatch(step -> step.equals(run("a")));
      assertThat(tokens.counts().expired()).isEqualTo(1);
    }

    /** Guards against a host that is late with its work and discards every token. */
    @Test
    void should_run_a_statement_that_waited_when_the_answer_is_handled_late() {
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("a", 0));

      assertThat(tokens.onReply(ask, 1, 0, 500)).containsExactly(run("a"));
    }

    @Test
    void should_discard_tokens_received_after_a_pause() {
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("a", 0));

      assertThat(tokens.onReply(ask, 1, 0, 5_000)).noneMatch(step -> step.equals(run("a")));
    }
  }

  @Nested
  class Refusals {
    /** Guards against callers beyond the limit that wait for calls which can't succeed. */
    @Test
    void should_refuse_at_once_when_no_keeper_has_tokens() {
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("first", 0));
      ask = asked(tokens.onReply(ask, 0, 300, 0));
      ask = asked(tokens.onReply(ask, 0, 200, 0));
      tokens.onReply(ask, 0, 100, 0);

      assertThat(tokens.onStatement("a", 10)).containsExactly(new QuotaStep.Refuse<>("a", 90));
    }

    @Test
    void should_refuse_at_once_when_the_keepers_that_answer_have_no_tokens() {
      silent.add(FAR);
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("first", 0));
      ask = asked(tokens.onReply(ask, 0, 300, 0));

      assertThat(tokens.onReply(ask, 0, 200, 0))
          .containsExactly(new QuotaStep.Refuse<>("first", 200));
    }

    @Test
    void should_refuse_when_three_keepers_do_not_answer() {
      QuotaStep.Ask<String> ask = asked(tokens.onStatement("a", 0));
      ask = asked(tokens.onUnanswered(ask, 200));
      ask = asked(tokens.onUnanswered(ask, 400));

      assertThat(tokens.onUnanswered(ask, 600)).containsExactly(new QuotaStep.Refuse<>("a", 200));
    }
  }
}
