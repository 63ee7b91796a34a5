package org.sardinebay.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HistoryCheckerTest {
  private static final String LIST = "own:tablet-1:0";
  private static final String PAIR = "pair:contracts-1:0:0";
  private static final String FIRST_VALUE = Keys.value(LIST, "tablet-1", 1);
  private static final String SECOND_VALUE = Keys.value(LIST, "tablet-1", 2);
  private static final String PAIR_VALUE = Keys.value(PAIR, "tablet-1", 3);
  private static final String OTHER_PAIR_VALUE = Keys.value(PAIR, "tablet-2", 4);

  private final History history = new History();
  private final Map<FinalState.ListName, List<String>> lists = new HashMap<>();

  @Nested
  class ValidHistory {
    @Test
    void should_pass_every_check() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 10, 1, 1)));
      history.add(read(OptionalLong.empty(), Attempts.read(20, FIRST_VALUE)));
      history.add(write(SECOND_VALUE, failed(Outcome.NOT_RUN, "no-primary", 30)));
      history.add(read(OptionalLong.of(100), Attempts.read(500, FIRST_VALUE)));
      history.add(transaction(PAIR_VALUE, Attempts.commit(key(PAIR_VALUE), 600, 2)));
      setFinalList(LIST, FIRST_VALUE);
      setFinalPair(List.of(PAIR_VALUE), List.of(PAIR_VALUE));

      List<CheckResult> results = HistoryChecker.check(history, new FinalState(lists));

      assertThat(results).allMatch(CheckResult::passed);
    }
  }

  @Nested
  class LostAndDuplicatedWrites {
    @Test
    void should_report_an_acknowledged_write_that_is_missing() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 10, 1, 1)));

      assertViolated(Invariant.NOTHING_LOST_OR_DOUBLED);
    }

    @Test
    void should_report_a_write_that_is_present_twice() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 10, 1, 1)));
      setFinalList(LIST, FIRST_VALUE, FIRST_VALUE);

      assertViolated(Invariant.NOTHING_LOST_OR_DOUBLED, Invariant.AT_MOST_ONCE);
    }

    @Test
    void should_report_one_idempotency_key_acknowledged_at_two_positions() {
      history.add(
          write(
              FIRST_VALUE,
              Attempts.write(key(FIRST_VALUE), 10, 1, 1),
              Attempts.write(key(FIRST_VALUE), 11, 1, 2)));
      setFinalList(LIST, FIRST_VALUE);

      assertViolated(Invariant.AT_MOST_ONCE);
    }
  }

  @Nested
  class StaleReads {
    @Test
    void should_report_a_read_without_the_session_s_own_write() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 10, 1, 1)));
      history.add(read(OptionalLong.empty(), Attempts.read(20)));
      setFinalList(LIST, FIRST_VALUE);

      assertViolated(Invariant.READ_YOUR_WRITES);
    }

    @Test
    void should_report_a_read_that_misses_a_value_of_an_earlier_read() {
      history.add(read(OptionalLong.empty(), Attempts.read(10, FIRST_VALUE)));
      history.add(read(OptionalLong.empty(), Attempts.read(20)));

      assertViolated(Invariant.READ_YOUR_WRITES);
    }

    @Test
    void should_accept_an_older_read_after_the_session_was_reset() {
      history.add(read(OptionalLong.empty(), Attempts.read(10, FIRST_VALUE)));
      history.add(new Operation.SessionReset("tablet-1"));
      history.add(read(OptionalLong.empty(), Attempts.read(20)));

      assertThat(violatedInvariants()).isEmpty();
    }

    @Test
    void should_report_a_read_older_than_its_maximum_age() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 10, 1, 1)));
      history.add(read(OptionalLong.of(100), Attempts.read(500)));
      setFinalList(LIST, FIRST_VALUE);

      assertViolated(Invariant.AGE_WITHIN_BOUND);
    }

    @Test
    void should_accept_a_read_that_misses_a_write_younger_than_its_maximum_age() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 450, 1, 1)));
      history.add(read(OptionalLong.of(100), Attempts.read(500)));
      setFinalList(LIST, FIRST_VALUE);

      assertThat(violatedInvariants()).isEmpty();
    }
  }

  @Nested
  class NotRun {
    @Test
    void should_report_a_write_that_ran_although_it_was_reported_as_not_run() {
      history.add(write(FIRST_VALUE, failed(Outcome.NOT_RUN, "no-primary", 10)));
      setFinalList(LIST, FIRST_VALUE);

      assertViolated(Invariant.NOT_RUN_MEANS_NOT_RUN);
    }

    @Test
    void should_report_a_revoked_write_that_ran_after_an_attempt_without_a_response() {
      history.add(
          write(
              FIRST_VALUE,
              failed(Outcome.NO_ANSWER, "", 10),
              failed(Outcome.NOT_RUN, "revoked", 20)));
      setFinalList(LIST, FIRST_VALUE);

      assertViolated(Invariant.NOT_RUN_MEANS_NOT_RUN);
    }

    @Test
    void should_accept_a_write_of_unknown_outcome_that_ran() {
      history.add(write(FIRST_VALUE, failed(Outcome.UNKNOWN, "outcome-unknown", 10)));
      setFinalList(LIST, FIRST_VALUE);

      assertThat(violatedInvariants()).isEmpty();
    }
  }

  @Nested
  class Transactions {
    @Test
    void should_report_a_half_applied_transaction() {
      history.add(transaction(PAIR_VALUE, Attempts.commit(key(PAIR_VALUE), 10, 1)));
      setFinalPair(List.of(PAIR_VALUE), List.of());

      assertViolated(Invariant.TRANSACTIONS_ISOLATED, Invariant.NOTHING_LOST_OR_DOUBLED);
    }

    @Test
    void should_report_transactions_in_different_orders_in_the_two_lists() {
      history.add(transaction(PAIR_VALUE, Attempts.commit(key(PAIR_VALUE), 10, 1)));
      history.add(transaction(OTHER_PAIR_VALUE, Attempts.commit(key(OTHER_PAIR_VALUE), 30, 2)));
      setFinalPair(List.of(PAIR_VALUE, OTHER_PAIR_VALUE), List.of(OTHER_PAIR_VALUE, PAIR_VALUE));

      assertViolated(Invariant.TRANSACTIONS_ISOLATED);
    }

    @Test
    void should_report_a_transaction_that_read_a_rolled_back_value() {
      history.add(
          new Operation.Transaction(
              "tablet-2",
              PAIR,
              OTHER_PAIR_VALUE,
              key(OTHER_PAIR_VALUE),
              List.of(Attempts.begin(5)),
              List.of(),
              Optional.empty()));
      history.add(
          transaction(
              PAIR_VALUE,
              List.of(OTHER_PAIR_VALUE, PAIR_VALUE),
              Attempts.commit(key(PAIR_VALUE), 10, 1)));
      setFinalPair(List.of(PAIR_VALUE), List.of(PAIR_VALUE));

      assertViolated(Invariant.TRANSACTIONS_ISOLATED);
    }
  }

  @Nested
  class Responses {
    @Test
    void should_report_rows_of_another_list() {
      history.add(read(OptionalLong.empty(), Attempts.read(10, Keys.value("own:other", "x", 1))));

      assertViolated(Invariant.ANSWERS_NOT_CROSSED);
    }

    @Test
    void should_report_a_response_with_another_key() {
      history.add(write(FIRST_VALUE, Attempts.write(key(SECOND_VALUE), 10, 1, 1)));
      setFinalList(LIST, FIRST_VALUE);

      assertViolated(Invariant.ANSWERS_NOT_CROSSED);
    }
  }

  @Nested
  class ReplacedPrimary {
    @Test
    void should_report_an_older_term_acknowledged_after_a_newer_one() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 10, 2, 5)));
      history.add(write(SECOND_VALUE, Attempts.write(key(SECOND_VALUE), 50, 1, 6)));
      setFinalList(LIST, FIRST_VALUE, SECOND_VALUE);

      assertViolated(Invariant.NO_ACK_BY_REPLACED_PRIMARY);
    }

    @Test
    void should_report_one_index_acknowledged_in_two_terms() {
      history.add(write(FIRST_VALUE, Attempts.write(key(FIRST_VALUE), 10, 1, 5)));
      history.add(write(SECOND_VALUE, Attempts.write(key(SECOND_VALUE), 12, 2, 5)));
      setFinalList(LIST, FIRST_VALUE, SECOND_VALUE);

      assertViolated(Invariant.NO_ACK_BY_REPLACED_PRIMARY);
    }
  }

  private void assertViolated(Invariant... invariants) {
    assertThat(violatedInvariants()).containsExactlyInAnyOrder(invariants);
  }

  private List<Invariant> violatedInvariants() {
    return HistoryChecker.check(history, new FinalState(lists)).stream()
        .filter(result -> !result.violations().isEmpty())
        .map(CheckResult::invariant)
        .toList();
  }

  private void setFinalList(String key, String... values) {
    lists.put(new FinalState.ListName(Attempts.DATABASE, key), List.of(values));
  }

  private void setFinalPair(List<String> first, List<String> second) {
    lists.put(new FinalState.ListName(Attempts.DATABASE, Keys.first(PAIR)), first);
    lists.put(new FinalState.ListName(Attempts.DATABASE, Keys.second(PAIR)), second);
  }

  private static String key(String value) {
    return "key-" + value;
  }

  private static Attempt failed(Outcome outcome, String code, long sentMillis) {
    return Attempts.failed(CallKind.WRITE, outcome, code, sentMillis);
  }

  private static Operation write(String value, Attempt... attempts) {
    return new Operation.Write("tablet-1", LIST, value, false, key(value), List.of(attempts));
  }

  private static Operation read(OptionalLong maxAgeMillis, Attempt attempt) {
    return new Operation.Read("tablet-1", LIST, maxAgeMillis, attempt);
  }

  private static Operation transaction(String value, Attempt commit) {
    return transaction(value, List.of(value), commit);
  }

  private static Operation transaction(String value, List<String> readBack, Attempt commit) {
    return new Operation.Transaction(
        "tablet-1",
        PAIR,
        value,
        key(value),
        List.of(Attempts.begin(commit.sentMillis() - 1)),
        List.of(commit),
        Optional.of(readBack));
  }
}
