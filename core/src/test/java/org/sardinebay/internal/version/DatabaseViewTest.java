package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Position;

class DatabaseViewTest {
  private final DatabaseView view = new DatabaseView(Samples.DATABASE, Samples.FAIL_ON_VIOLATION);

  @Nested
  class Confirmation {
    @Test
    void should_confirm_entries_received_by_a_majority() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 0, 1);

      view.observe(Samples.replica(Samples.B, 1, 7, 3), 0, 1);

      assertThat(view.confirmedIndex()).isEqualTo(7);
      assertThat(view.durable(new Position(1, 7))).isTrue();
      assertThat(view.durable(new Position(1, 8))).isFalse();
    }

    @Test
    void should_not_confirm_entries_received_only_by_the_primary() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 0, 1);

      assertThat(view.confirmedIndex()).isZero();
    }

    @Test
    void should_not_count_a_replica_that_reports_an_older_term() {
      view.observe(Samples.replica(Samples.B, 1, 9, 9), 0, 1);

      view.observe(Samples.primary(Samples.A, 2, 5, 9), 0, 1);

      assertThat(view.confirmedIndex()).isZero();
    }

    @Test
    void should_confirm_a_new_term_only_from_its_first_entry() {
      view.observe(Samples.primary(Samples.A, 2, 5, 6), 0, 1);

      view.observe(Samples.replica(Samples.B, 2, 4, 4), 0, 1);

      assertThat(view.confirmedIndex()).isZero();
    }

    @Test
    void should_keep_confirmed_entries_durable_while_no_primary_is_known() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 0, 1);
      view.observe(Samples.replica(Samples.B, 1, 9, 9), 0, 1);

      view.observe(Samples.replica(Samples.C, 2, 9, 9), 2, 3);

      assertThat(view.primary()).isEmpty();
      assertThat(view.durable(new Position(1, 9))).isTrue();
    }

    @Test
    void should_report_a_new_term_that_starts_below_a_confirmed_entry() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 0, 1);
      view.observe(Samples.replica(Samples.B, 1, 9, 9), 0, 1);

      assertThatThrownBy(() -> view.observe(Samples.primary(Samples.C, 2, 8, 8), 2, 3))
          .isInstanceOf(AssertionError.class)
          .hasMessageContaining("CONFIRMED_ENTRIES_SURVIVE");
    }
  }

  @Nested
  class DroppedEntries {
    @Test
    void should_include_an_entry_dropped_by_a_promotion() {
      view.observe(Samples.primary(Samples.B, 2, 5, 6), 0, 1);

      assertThat(view.dropped(new Position(1, 5))).isTrue();
      assertThat(view.dropped(new Position(1, 4))).isFalse();
      assertThat(view.dropped(new Position(2, 5))).isFalse();
    }

    @Test
    void should_not_include_entries_of_an_unknown_newer_term() {
      view.observe(Samples.primary(Samples.B, 2, 5, 6), 0, 1);

      assertThat(view.dropped(new Position(3, 9))).isFalse();
    }
  }

  @Nested
  class PrimaryAndMajority {
    @Test
    void should_use_the_primary_of_the_highest_term() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 0, 1);

      view.observe(Samples.primary(Samples.B, 2, 10, 10), 2, 3);
      view.observe(Samples.primary(Samples.A, 1, 1, 12), 4, 5);

      assertThat(view.primary()).isEqualTo(Optional.of(Samples.B));
      assertThat(view.term()).isEqualTo(2);
    }

    @Test
    void should_require_recent_replies_of_a_majority() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 1_000, 1_001);
      boolean withPrimaryOnly = view.majorityAnswers(1_001);

      view.observe(Samples.replica(Samples.B, 1, 9, 9), 1_000, 1_001);

      assertThat(withPrimaryOnly).isFalse();
      assertThat(view.majorityAnswers(1_001)).isTrue();
      assertThat(view.majorityAnswers(1_001 + DatabaseView.REACHABLE_MILLIS)).isFalse();
    }
  }

  @Nested
  class Age {
    @Test
    void should_be_proved_only_after_a_majority_reported_no_newer_term() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 1_000, 1_001);
      Optional<Position> beforeMajorityReplied = view.minimumPositionForAge(1_100, 500);

      view.observe(Samples.replica(Samples.B, 1, 9, 2), 1_000, 1_001);

      assertThat(beforeMajorityReplied).isEmpty();
      assertThat(view.minimumPositionForAge(1_100, 500)).contains(new Position(1, 9));
      assertThat(view.minimumPositionForAge(1_600, 500)).isEmpty();
    }

    @Test
    void should_increase_while_no_newer_bound_is_proved() {
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 1_000, 1_001);
      view.observe(Samples.replica(Samples.B, 1, 9, 2), 1_000, 1_001);

      assertThat(view.age(new Position(1, 9), 1_700)).hasValue(700);
      assertThat(view.age(new Position(1, 8), 1_700)).isEmpty();
    }
  }

  @Nested
  class Estimates {
    @Test
    void should_not_expect_a_stalled_replica_before_the_current_time() {
      view.observe(Samples.primary(Samples.A, 1, 1, 5), 0, 1);
      view.observe(Samples.replica(Samples.B, 1, 5, 5), 0, 1);
      view.observe(Samples.primary(Samples.A, 1, 1, 9), 100, 101);

      view.observe(Samples.replica(Samples.B, 1, 9, 5), 2_100, 2_101);

      assertThat(view.expectedAt(Samples.B, 9, 2_101)).isGreaterThanOrEqualTo(2_101);
      assertThat(view.expectedAt(Samples.B, 5, 2_101)).isEqualTo(2_101);
    }

    @Test
    void should_not_treat_the_time_between_two_replies_as_a_stall() {
      view.observe(Samples.replica(Samples.B, 1, 5, 5), 0, 1);
      view.observe(Samples.primary(Samples.A, 1, 1, 6), 10, 11);

      assertThat(view.expectedAt(Samples.B, 6, 150)).isEqualTo(150);
    }
  }
}
