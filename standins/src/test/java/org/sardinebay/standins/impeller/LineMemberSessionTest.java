package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinebay.Clock;

class LineMemberSessionTest {
  private final MemberGroup group = new MemberGroup(Clock.system());
  private LineMemberSession session;

  @BeforeEach
  void open() {
    group.add("m-1", true, 0);
    session = new LineMemberSession("m-1", group, new AtomicLong());
  }

  private LineAnswer run(String text) {
    return session.run("id", text, 1);
  }

  @Test
  void should_sign_each_read_write_and_commit_differently() {
    run("PREPARE r READ q");
    run("PREPARE w WRITE q");
    Stream<String> signatures =
        Stream.of(
                "READ a",
                "READ a",
                "WRITE a 1",
                "WRITE a 1",
                "EXEC r a",
                "EXEC w a 1",
                "BEGIN",
                "READ a",
                "COMMIT")
            .map(text -> run(text).outcome())
            .filter(outcome -> !outcome.equals("DONE -"));

    assertThat(signatures).hasSize(8).doesNotHaveDuplicates().allMatch(s -> s.startsWith("DONE m"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "SET a b",
        "PREPARE p READ q",
        "RESET",
        "BEGIN",
        "BEGIN READ",
        "ROLLBACK",
        "STATUS"
      })
  void should_not_sign_other_statements(String text) {
    assertThat(run(text).outcome()).isEqualTo("DONE -");
  }

  @ParameterizedTest
  @ValueSource(strings = {"x\nDONE sig\nREADY I 1.2", "\r", " a  b ", "", "\0\u00ff\u0080\n"})
  void should_keep_data_and_values_whole(String text) {
    run("PREPARE w WRITE q");
    run("SET zone " + text);
    run("WRITE a " + text);
    run("EXEC w b " + text);

    assertThat(run("READ a").rows()).containsExactly(text + "{zone=" + text + "}");
    assertThat(run("READ b").rows()).containsExactly(text + "{zone=" + text + "}");
  }

  @Test
  void should_know_the_transaction_and_the_values_of_a_statement() {
    session.run("v1", "SET zone north", 1);
    session.run("b1", "BEGIN", 1);

    assertThat(session.transaction()).contains("b1");
    assertThat(session.values()).containsEntry("zone", "north");
  }

  @Test
  void should_end_the_transaction_at_its_commit_or_rollback() {
    for (String end : new String[] {"COMMIT", "ROLLBACK"}) {
      run("BEGIN");
      run(end);

      assertThat(session.transaction()).isEmpty();
    }
  }
}
