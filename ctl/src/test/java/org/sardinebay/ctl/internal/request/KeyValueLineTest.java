package org.sardinebay.ctl.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class KeyValueLineTest {
  @Test
  void should_quote_values_with_spaces() {
    assertThat(KeyValueLine.of("databases").add("name", "a b").add("version", 3))
        .hasToString("databases name=\"a b\" version=3");
  }

  /** Guards against a record whose name is printed as two records. */
  @Test
  void should_stay_one_line_when_a_value_holds_line_ends() {
    assertThat(KeyValueLine.of("databases").add("name", "a\ndatabases\r\tname=b"))
        .hasToString("databases name=\"a\\ndatabases\\r\\tname=b\"");
  }
}
