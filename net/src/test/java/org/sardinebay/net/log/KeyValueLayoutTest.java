package org.sardinebay.net.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

class KeyValueLayoutTest {
  private static LoggingEvent event(Throwable failure) {
    LoggingEvent event =
        new LoggingEvent(
            "x", new LoggerContext().getLogger("x"), Level.WARN, "store_lost", failure, null);
    event.setInstant(Instant.parse("2026-12-03T10:00:00Z"));
    event.setKeyValuePairs(
        List.of(new KeyValuePair("kind", "config"), new KeyValuePair("result", "no answer")));
    return event;
  }

  @Test
  void should_format_an_event_as_one_line_of_pairs() {
    assertThat(new KeyValueLayout().doLayout(event(null)))
        .isEqualTo(
            "time=2026-12-03T10:00:00.000Z level=WARN event=store_lost kind=config"
                + " result=\"no answer\"\n");
  }

  @Test
  void should_pad_the_time_with_zeros() {
    LoggingEvent event = event(null);
    event.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"));

    assertThat(new KeyValueLayout().doLayout(event)).startsWith("time=2026-01-02T03:04:05.006Z ");
  }

  @Test
  void should_format_an_exception_on_the_same_line() {
    String line = new KeyValueLayout().doLayout(event(new IllegalStateException("bad\nstate")));

    assertThat(line.lines()).hasSize(1);
    assertThat(LogLine.parse(line).get().field("exception"))
        .isEqualTo("java.lang.IllegalStateException: bad\nstate");
    assertThat(LogLine.parse(line).get().field("at")).contains("KeyValueLayoutTest");
  }
}
