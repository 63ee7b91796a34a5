package org.sardinebay.net.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Test;

class LogLineTest {
  private static final List<String> FRAGMENTS =
      List.of(
          "",
          " ",
          "=",
          "\"",
          "\\",
          "\\n",
          "\\u000a",
          "\n",
          "\r",
          "\r\n",
          "\t",
          "\0",
          "\u001b[2J",
          "\u0085",
          "\u2028",
          "\ud83d",
          "\u00ff",
          "a",
          " last=2",
          "\ntime=2026-12-03T10:00:00.250Z event=x");

  private static final String TIME = "time=2026-12-03T10:00:00.250Z";

  @Test
  void should_parse_plain_and_quoted_values() {
    LogLine line = LogLine.parse(TIME + " level=INFO event=x text=\"not run: \\\"a\\\"\"").get();

    assertThat(line.timeMillis()).isEqualTo(1_796_292_000_250L);
    assertThat(line.event()).isEqualTo("x");
    assertThat(line.field("text")).isEqualTo("not run: \"a\"");
    assertThat(line.field("absent")).isEmpty();
  }

  @Test
  void should_ignore_text_before_the_time() {
    assertThat(LogLine.parse("  12.25 host-1 " + TIME + " event=x").map(LogLine::event))
        .contains("x");
  }

  @Test
  void should_reject_text_without_a_valid_time() {
    assertThat(LogLine.parse("java.lang.IllegalStateException: time=soon")).isEmpty();
    assertThat(LogLine.parse("")).isEmpty();
  }

  @Property
  void should_parse_any_formatted_value_from_one_line(@ForAll("values") String value) {
    StringBuilder text = new StringBuilder(TIME);
    LogLine.append(text, "key", value);
    LogLine.append(text, "last", "1");

    assertThat(text.toString()).matches("[ -~]*");
    assertThat(LogLine.parse(text.toString()).get().fields())
        .containsExactlyInAnyOrderEntriesOf(Map.of("key", value, "last", "1"));
  }

  /** Any text, often with line ends, quotes, escapes and pairs that are not of the line. */
  @Provide
  Arbitrary<String> values() {
    return Arbitraries.frequencyOf(
            Tuple.of(4, Arbitraries.of(FRAGMENTS)),
            Tuple.of(1, Arbitraries.strings().ofMaxLength(30)))
        .list()
        .ofMaxSize(6)
        .map(parts -> String.join("", parts));
  }

  @Test
  void should_parse_a_long_quoted_value() {
    String value = "a \"b\" ".repeat(100_000);
    StringBuilder text = new StringBuilder(TIME);
    LogLine.append(text, "key", value);

    assertThat(LogLine.parse(text.toString()).get().field("key")).isEqualTo(value);
  }

  @Property
  void should_parse_any_text_after_a_time(@ForAll("values") String text) {
    assertThat(LogLine.parse(TIME + " " + text)).isPresent();
  }

  @Test
  void should_read_an_incomplete_quoted_value_as_words() {
    assertThat(LogLine.parse(TIME + " a=\"\\u00\" b=\"c d=1").get().fields())
        .containsExactlyInAnyOrderEntriesOf(Map.of("a", "u00", "b", "\"c", "d", "1"));
  }
}
