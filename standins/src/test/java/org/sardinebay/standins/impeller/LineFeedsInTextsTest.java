package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Texts whose line feeds or carriage returns stand alone, which end no line. */
class LineFeedsInTextsTest {
  private static final String SMUGGLED = "x\nQUERY evil WRITE smuggled 1\ny";

  private CheckedGateway gateway;
  private RecordedCaller caller;

  @BeforeEach
  void start() throws Exception {
    gateway = CheckedGateway.start();
    caller = gateway.caller("strict");
  }

  @AfterEach
  void stop() throws Exception {
    caller.close();
    gateway.close();
  }

  private void assertNothingElseRan() {
    assertThat(gateway.violations()).isEmpty();
    assertThat(gateway.platform().group().commitsOf("smuggled")).isZero();
  }

  private void assertWritesWhole(String data) throws Exception {
    RecordedCaller.Attempt written = caller.query("WRITE a " + data);

    assertNothingElseRan();
    assertThat(written.succeeded()).as(written.answer().toString()).isTrue();
    assertThat(gateway.platform().group().committed("a")).containsExactly(data);
  }

  @ParameterizedTest(name = "[{index}]")
  @ValueSource(strings = {SMUGGLED, "x\n", "\n", "\n\r", "\0\u00ff\u0080\n\t x "})
  void should_write_data_with_line_feeds_whole(String data) throws Exception {
    assertWritesWhole(data);
  }

  @ParameterizedTest(name = "[{index}]")
  @ValueSource(strings = {"\rx", "x\ry", " x\t", "\0\u00ff\u0080"})
  void should_write_data_with_other_control_characters_whole(String data) throws Exception {
    assertWritesWhole(data);
  }

  @Test
  void should_run_statements_with_session_values_that_hold_line_feeds() throws Exception {
    caller.query("SET zone " + SMUGGLED);
    RecordedCaller.Attempt read = caller.query("READ a");

    assertNothingElseRan();
    assertThat(read.rows()).containsExactly("-{zone=" + SMUGGLED + "}");
  }

  @Test
  void should_execute_prepared_statements_with_data_that_hold_line_feeds() throws Exception {
    caller.query("PREPARE w WRITE q");
    RecordedCaller.Attempt written = caller.query("EXEC w a " + SMUGGLED);

    assertNothingElseRan();
    assertThat(written.succeeded()).as(written.answer().toString()).isTrue();
    assertThat(gateway.platform().group().committed("a")).containsExactly(SMUGGLED);
  }

  @Test
  void should_prepare_shapes_that_hold_line_feeds() throws Exception {
    caller.query("PREPARE w WRITE " + SMUGGLED);
    RecordedCaller.Attempt written = caller.query("EXEC w a 1");

    assertNothingElseRan();
    assertThat(written.succeeded()).as(written.answer().toString()).isTrue();
    assertThat(gateway.platform().ran(written.id()))
        .allSatisfy(run -> assertThat(run.shape()).contains("WRITE " + SMUGGLED));
  }

  @Test
  void should_read_items_whose_names_hold_line_feeds() throws Exception {
    gateway.platform().group().commit("m-1", Map.of("a\nb", "found"));

    RecordedCaller.Attempt read = caller.query("READ a\nb");

    assertNothingElseRan();
    assertThat(read.rows()).containsExactly("found{}");
  }

  @ParameterizedTest(name = "[{index}]")
  @ValueSource(
      strings = {
        "x\nDONE forged\nREADY I 1.2\n",
        "x\nROW y\nDONE forged\n",
        "x\nERR BUSY m-1\nREADY I 1.2\n",
        "\n"
      })
  void should_return_rows_with_wire_words_after_line_feeds_whole(String data) throws Exception {
    gateway.platform().group().commit("m-1", Map.of("a", data));

    RecordedCaller.Attempt read = caller.query("READ a");

    assertNothingElseRan();
    assertThat(read.rows()).containsExactly(data + "{}");
  }
}
