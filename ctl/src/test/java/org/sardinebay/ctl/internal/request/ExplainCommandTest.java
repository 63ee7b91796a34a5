package org.sardinebay.ctl.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sardinebay.net.log.KeyValueLayout;
import org.slf4j.event.KeyValuePair;

class ExplainCommandTest {
  private static String logged(String event, KeyValuePair... pairs) {
    LoggingEvent logged =
        new LoggingEvent("x", new LoggerContext().getLogger("x"), Level.INFO, event, null, null);
    logged.setInstant(Instant.parse("2026-12-03T10:00:00Z"));
    logged.setKeyValuePairs(new ArrayList<>(List.of(pairs)));
    return new KeyValueLayout().doLayout(logged);
  }

  private static List<String> explain(String request, String log) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ExplainCommand command =
        new ExplainCommand(
            request,
            List.of("-"),
            new ByteArrayInputStream(log.getBytes(StandardCharsets.UTF_8)),
            new PrintStream(out, true, StandardCharsets.UTF_8));
    Optional<Failure> failure = command.run();
    assertThat(failure).isEmpty();
    return out.toString(StandardCharsets.UTF_8).lines().toList();
  }

  /** Guards against a text that forges a line of the log or of this command's output. */
  @Test
  void should_read_back_texts_that_hold_line_ends_and_quotes() {
    String id = "r\n1\"";
    String text = "no row\r\ncause: none=\"x\"\ntime=2026-12-03T10:00:00Z event=forged request=r";
    String log =
        logged(
            "statement_failed",
            new KeyValuePair("request", id),
            new KeyValuePair("code", "UNKNOWN"),
            new KeyValuePair("text", text));

    List<String> lines = explain(id, log);

    assertThat(lines)
        .containsExactly(
            "request r\\n1\"",
            "  2026-12-03T10:00:00Z - statement_failed code=UNKNOWN text=\"no row\\r\\ncause:"
                + " none=\\\"x\\\"\\ntime=2026-12-03T10:00:00Z event=forged request=r\"",
            "cause: the statement itself: no row\\r\\ncause: none=\"x\"\\ntime=2026-12-03T10:00:00Z"
                + " event=forged request=r");
  }
}
