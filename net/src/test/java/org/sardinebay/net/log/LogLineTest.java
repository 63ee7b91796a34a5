package org.sardinebay.net.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LogLineTest {
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
  void should_parse_any_formatted_value_without_control_characters(@ForAll String value) {
    String printable = value.replaceAll("[\\u0000-\\u001f]", " ");
    StringBuilder text = new StringBuilder(TIME);
    LogLine.append(text, "key", printable);
    LogLine.append(text, "last", "1");

    assertThat(LogLine.parse(text.toString()).get().fields())
        .containsExactlyInAnyOrderEntriesOf(Map.of("key", printable, "last", "1"));
  }
}
