package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CutAnswersTest {
  private static final int[] BYTES = {1, 5, 8, 12, 15, 22, 28};

  private CheckedGateway gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = CheckedGateway.start();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  private void cut(String kind, AnswerFault fault) {
    gateway.faults(
        faults -> {
          faults.clear();
          faults.each(request -> request.kind().equals(kind), fault);
        });
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void should_not_succeed_for_the_caller(boolean closes) throws Exception {
    int i = 0;
    for (int bytes : BYTES) {
      for (String text : new String[] {"READ a", "WRITE b " + i++}) {
        cut(text.split(" ", 2)[0], new AnswerFault.CutBytes(bytes, closes));
        try (RecordedCaller caller = gateway.caller("strict")) {
          assertThat(caller.query(text).succeeded()).as(text + " after " + bytes).isFalse();
        }
      }
    }

    assertThat(gateway.violations()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"READ a", "WRITE b 1"})
  void should_not_succeed_for_the_caller_without_their_last_line(String text) throws Exception {
    cut(text.split(" ", 2)[0], new AnswerFault.CutLines(text.startsWith("READ") ? 2 : 1, true));
    try (RecordedCaller caller = gateway.caller("strict")) {
      assertThat(caller.query(text).succeeded()).isFalse();
    }

    assertThat(gateway.violations()).isEmpty();
  }
}
