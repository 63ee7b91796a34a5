package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.Workspaces;

class StatementSchedulerTest {
  private static final WaitEstimate.Capacity ONE_CONNECTION =
      new WaitEstimate.Capacity(1, 0, OptionalDouble.of(10));

  private final StatementScheduler<String> scheduler = new StatementScheduler<>();

  private static StatementDemand demand(String workspace, double workMillis, long giveUpAt) {
    return new StatementDemand(
        Optional.of(new WorkspaceId(workspace)), 1, workMillis, true, 0, giveUpAt, giveUpAt);
  }

  private WaitEstimate.Expected<String> add(String item, double workMillis, long giveUpAt) {
    return scheduler.add(item, demand("a", workMillis, giveUpAt), ONE_CONNECTION, any -> false, 0);
  }

  @Nested
  class WithWorkspaces {
    @BeforeEach
    void workspacesInForce() {
      scheduler.workspaces(Optional.of(new Workspaces(Map.of(), Map.of())));
    }

    @Test
    void should_reject_on_arrival_what_the_work_ahead_leaves_no_time_for() {
      assertThat(add("first", 50, 100).inTime()).isTrue();
      assertThat(add("second", 50, 100).inTime()).isTrue();
      WaitEstimate.Expected<String> third = add("third", 50, 100);

      assertThat(third.inTime()).isFalse();
      assertThat(third.waitMillis()).hasValue(110);
      assertThat(scheduler.size()).isEqualTo(2);
    }

    @Test
    void should_let_statements_wait_while_there_are_no_samples_or_no_connection() {
      WaitEstimate.Capacity noSamples = new WaitEstimate.Capacity(1, 1, OptionalDouble.empty());
      WaitEstimate.Capacity memberGone = new WaitEstimate.Capacity(0, 1, OptionalDouble.of(10));

      assertThat(scheduler.add("a", demand("a", 900, 100), noSamples, any -> false, 0).inTime())
          .isTrue();
      assertThat(scheduler.add("b", demand("a", 900, 100), memberGone, any -> false, 0).inTime())
          .isTrue();
    }

    @Test
    void should_not_reject_while_a_suitable_connection_is_idle_or_may_be_opened() {
      add("first", 500, 100);

      assertThat(
              scheduler
                  .add("second", demand("a", 50, 100), ONE_CONNECTION, "second"::equals, 0)
                  .inTime())
          .isTrue();
    }

    @Test
    void should_shed_what_can_no_longer_be_placed_unless_a_connection_is_available_to_it() {
      add("first", 10, 100);
      add("second", 10, 100);

      assertThat(scheduler.shed(ONE_CONNECTION, "second"::equals, 95))
          .extracting(WaitEstimate.Expected::item)
          .containsExactly("first");
      assertThat(scheduler.size()).isEqualTo(1);
    }
  }

  @Nested
  class ChangeOfConfiguration {
    @Test
    void should_let_statements_wait_as_long_as_they_may_without_workspaces() {
      add("first", 500, 100);

      assertThat(add("second", 50, 100).inTime()).isTrue();
      assertThat(scheduler.shed(ONE_CONNECTION, any -> false, 99)).isEmpty();
    }

    @Test
    void should_keep_waiting_statements_when_workspaces_come_and_go() {
      add("a1", 2_000, 100);
      scheduler.add("a2", demand("a", 2_000, 100), ONE_CONNECTION, any -> false, 0);
      scheduler.add("b1", demand("b", 2_000, 101), ONE_CONNECTION, any -> false, 0);
      scheduler.workspaces(Optional.of(new Workspaces(Map.of(), Map.of())));
      List<String> fair = new ArrayList<>();
      scheduler.dispatch(0, item -> !fair.add(item));
      scheduler.workspaces(Optional.empty());
      List<String> plain = new ArrayList<>();
      scheduler.dispatch(0, plain::add);

      assertThat(fair).containsExactly("a1", "b1", "a2");
      assertThat(plain).containsExactly("a1", "a2", "b1");
    }
  }

  @Nested
  class Retry {
    @Test
    void should_call_higher_priorities_back_sooner_and_spread_callers() {
      assertThat(RetryAfter.millis(400, 0, "r1")).isLessThan(RetryAfter.millis(400, 2, "r1"));
      assertThat(RetryAfter.millis(400, 1, "r1")).isNotEqualTo(RetryAfter.millis(400, 1, "r2"));
      assertThat(RetryAfter.millis(400, 1, "r1")).isEqualTo(RetryAfter.millis(400, 1, "r1"));
    }
  }

  @Nested
  class IdleTransactions {
    private Optional<String> choose(long firstIdle, long secondIdle, long limit) {
      return IdleTransactionPreemption.choose(
          List.of(
              new IdleTransactionPreemption.Candidate<>("first", firstIdle),
              new IdleTransactionPreemption.Candidate<>("second", secondIdle)),
          limit);
    }

    @Test
    void should_preempt_the_longest_idle_one_and_none_that_is_only_slow() {
      assertThat(choose(400, 600, 2_000)).contains("second");
      assertThat(choose(300, 200, 2_000)).isEmpty();
      assertThat(choose(900, 1_000, 10_000)).isEmpty();
    }
  }
}
