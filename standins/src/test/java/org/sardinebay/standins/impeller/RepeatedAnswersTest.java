package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Members that send an answer twice, the second time while another request is outstanding. */
class RepeatedAnswersTest {
  private static final int ROUNDS = 8;
  private static final AnswerFault BEFORE_NEXT = AnswerFault.repeatBeforeNext();

  private CheckedGateway gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = CheckedGateway.start();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  private static Predicate<MemberRequest> kind(String kind) {
    return request -> request.kind().equals(kind);
  }

  private void assertRulesKeptAndAnswersRepeated() {
    assertThat(gateway.violations()).isEmpty();
    assertThat(gateway.repeated()).isPositive();
  }

  /** The gateway may close the connection of an error, so that it doesn't come again. */
  private void assertRulesKeptAfterErrors() {
    assertThat(gateway.violations()).isEmpty();
    assertThat(gateway.selected()).isPositive();
  }

  /** Runs a statement until it succeeds; a busy host may refuse it. */
  private static RecordedCaller.Attempt succeed(RecordedCaller caller, String text)
      throws Exception {
    List<RecordedCaller.Attempt> attempts = new ArrayList<>();
    GatewayFleet.await(
        () -> {
          attempts.add(caller.query(text));
          return attempts.get(attempts.size() - 1).succeeded();
        },
        () -> "last answer: " + attempts.get(attempts.size() - 1).answer());
    return attempts.get(attempts.size() - 1);
  }

  private void runTransactions(RecordedCaller caller, String name, String end) throws IOException {
    for (int i = 0; i < ROUNDS; i++) {
      caller.query("BEGIN");
      caller.query("READ " + name);
      caller.query("WRITE " + name + i + " " + name + "-data-" + i);
      caller.query("READ " + name + i);
      caller.query(end);
    }
  }

  private void alternate(Callable<?> first, Callable<?> second) throws Exception {
    for (int i = 0; i < ROUNDS; i++) {
      first.call();
      second.call();
    }
  }

  @Nested
  class Reads {
    private void readAlternately() throws Exception {
      try (RecordedCaller one = gateway.caller("strict");
          RecordedCaller other = gateway.caller("strict")) {
        succeed(one, "WRITE a of-a");
        succeed(other, "WRITE b of-b");
        alternate(
            () -> assertThat(succeed(one, "READ a").rows()).containsExactly("of-a{}"),
            () -> assertThat(succeed(other, "READ b").rows()).containsExactly("of-b{}"));
      }
    }

    @Test
    void should_get_their_own_rows_if_the_answer_before_comes_again_first() throws Exception {
      gateway.faults(faults -> faults.each(kind("READ"), BEFORE_NEXT));

      readAlternately();

      assertRulesKeptAndAnswersRepeated();
    }

    @Test
    void should_get_their_own_rows_if_the_answer_before_comes_again_late() throws Exception {
      gateway.platform().members().forEach(member -> member.answerAfter(60));
      gateway.faults(faults -> faults.each(kind("READ"), new AnswerFault.RepeatLater(30)));

      readAlternately();

      assertRulesKeptAndAnswersRepeated();
    }

    @Test
    void should_get_their_own_rows_if_the_answer_before_comes_again_behind_theirs()
        throws Exception {
      gateway.faults(faults -> faults.each(kind("READ"), new AnswerFault.RepeatAfterNext()));

      readAlternately();

      assertRulesKeptAndAnswersRepeated();
    }
  }

  @Nested
  class Writes {
    @Test
    void should_get_their_own_signature() throws Exception {
      gateway.faults(faults -> faults.each(kind("WRITE"), BEFORE_NEXT));
      try (RecordedCaller one = gateway.caller("strict");
          RecordedCaller other = gateway.caller("strict")) {
        for (int i = 0; i < ROUNDS; i++) {
          one.query("WRITE a " + i);
          other.query("WRITE b " + i);
        }
      }

      assertRulesKeptAndAnswersRepeated();
    }

    @ParameterizedTest
    @ValueSource(strings = {"BUSY", "LAGGING"})
    void should_not_be_refused_if_they_ran_and_an_error_comes_again(String code) throws Exception {
      try (RecordedCaller reader = gateway.caller("strict");
          RecordedCaller writer = gateway.caller("strict")) {
        for (int i = 0; i < 3; i++) {
          gateway.faults(
              faults -> {
                faults.each(kind("READ"), new AnswerFault.Refuse(code));
                faults.each(kind("READ"), new AnswerFault.RepeatBefore(kind("WRITE")));
              });
          reader.query("READ a");
          gateway.faults(AnswerFaults::clear);
          writer.query("WRITE b " + i);
        }
      }

      assertRulesKeptAfterErrors();
    }

    @Test
    void should_run_once_if_the_error_of_their_own_first_run_comes_again() throws Exception {
      try (RecordedCaller writer = gateway.caller("strict")) {
        for (int i = 0; i < ROUNDS; i++) {
          gateway.faults(
              faults -> {
                faults.nth(kind("WRITE"), 1, new AnswerFault.Refuse("BUSY"));
                faults.nth(kind("WRITE"), 1, BEFORE_NEXT);
              });
          writer.query("WRITE b " + i);
        }
      }

      assertRulesKeptAfterErrors();
    }
  }

  @Nested
  class Transactions {
    @ParameterizedTest
    @ValueSource(strings = {"READ", "WRITE", "COMMIT"})
    void should_get_their_own_answers_if_a_signed_answer_comes_again(String repeated)
        throws Exception {
      gateway.faults(faults -> faults.each(kind(repeated), BEFORE_NEXT));
      try (RecordedCaller caller = gateway.caller("strict")) {
        runTransactions(caller, "t", "COMMIT");
      }

      assertRulesKeptAndAnswersRepeated();
    }

    @Test
    void should_get_their_own_commits_signature_if_another_commit_comes_again() throws Exception {
      gateway.platform().members().forEach(member -> member.answerAfter(40));
      gateway.faults(faults -> faults.each(kind("COMMIT"), new AnswerFault.RepeatLater(60)));
      ExecutorService threads = Executors.newFixedThreadPool(2);
      try (RecordedCaller one = gateway.caller("strict");
          RecordedCaller other = gateway.caller("strict")) {
        List<Callable<Void>> tasks =
            List.of(
                () -> {
                  runTransactions(one, "one", "COMMIT");
                  return null;
                },
                () -> {
                  runTransactions(other, "other", "COMMIT");
                  return null;
                });
        for (Future<Void> run : threads.invokeAll(tasks)) {
          run.get();
        }
      } finally {
        threads.shutdownNow();
      }

      assertRulesKeptAndAnswersRepeated();
    }
  }

  /** Answers without a signature that look the same for every statement. */
  @Nested
  class UnsignedAnswers {
    private void runSessions() throws Exception {
      try (RecordedCaller one = gateway.caller("strict");
          RecordedCaller other = gateway.caller("strict")) {
        one.query("PREPARE p READ one");
        other.query("PREPARE p WRITE other");
        for (int i = 0; i < ROUNDS; i++) {
          one.query("SET zone north" + i);
          other.query("SET tier gold" + i);
          one.query("READ a");
          other.query("WRITE b " + i);
          one.query("EXEC p a");
          other.query("EXEC p c e" + i);
        }
        runTransactions(one, "one", "COMMIT");
        runTransactions(other, "other", "ROLLBACK");
        runTransactions(one, "again", "COMMIT");
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {"SET", "PREPARE", "RESET", "BEGIN", "ROLLBACK"})
    void should_not_be_taken_for_the_answer_of_a_statement(String repeated) throws Exception {
      gateway.faults(faults -> faults.each(kind(repeated), BEFORE_NEXT));

      runSessions();

      assertRulesKeptAndAnswersRepeated();
    }

    @Test
    void should_not_be_taken_for_the_answer_of_a_statement_if_a_status_comes_again()
        throws Exception {
      gateway.faults(faults -> faults.each(kind("STATUS"), BEFORE_NEXT));
      try (RecordedCaller caller = gateway.caller("own")) {
        GatewayFleet.await(
            () -> {
              caller.query("READ a");
              return gateway.repeated() > ROUNDS;
            },
            () -> "answers that came again: " + gateway.repeated());
      }

      assertRulesKeptAndAnswersRepeated();
    }
  }

  /** One answer that comes again on the connection of the next statement of the given kind. */
  @Nested
  class AwaitedAnswers {
    private void runScript(RecordedCaller caller) throws Exception {
      caller.query("SET zone north");
      caller.query("PREPARE p READ q");
      caller.query("READ a");
      caller.query("EXEC p a");
      caller.query("WRITE a single");
      caller.query("BEGIN");
      caller.query("READ a");
      caller.query("WRITE b first");
      caller.query("WRITE c second");
      caller.query("COMMIT");
      caller.query("READ b");
    }

    @ParameterizedTest
    @CsvSource({
      "SET,READ", "SET,WRITE", "SET,COMMIT", "PREPARE,EXEC", "PREPARE,COMMIT", "BEGIN,READ",
      "BEGIN,WRITE", "BEGIN,COMMIT", "READ,EXEC", "READ,WRITE", "READ,COMMIT", "EXEC,COMMIT",
      "WRITE,READ", "WRITE,WRITE", "WRITE,COMMIT", "COMMIT,READ"
    })
    void should_not_be_taken_for_the_awaited_answer(String repeated, String awaited)
        throws Exception {
      gateway.faults(
          faults -> faults.nth(kind(repeated), 1, new AnswerFault.RepeatBefore(kind(awaited))));
      try (RecordedCaller caller = gateway.caller("strict")) {
        runScript(caller);
      }

      assertRulesKeptAndAnswersRepeated();
    }

    @ParameterizedTest
    @ValueSource(strings = {"WRITE", "COMMIT"})
    void should_not_become_a_promise_for_what_was_kept(String awaited) throws Exception {
      gateway.faults(
          faults -> {
            faults.nth(kind("READ"), 1, new AnswerFault.Refuse("BUSY"));
            faults.nth(kind("READ"), 1, new AnswerFault.RepeatBefore(kind(awaited)));
          });
      try (RecordedCaller caller = gateway.caller("strict")) {
        runScript(caller);
      }

      assertRulesKeptAfterErrors();
    }
  }
}
