package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

class RepeatedOpeningsTest {
  private static final int CALLERS = 8;
  private static final int ROUNDS = 6;
  private static final long SEED = 55;

  /** Statements that are answered slowly make the gateway open connections for the others. */
  @Test
  void should_not_be_taken_for_the_answer_of_a_statement() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
    try (CheckedGateway gateway = CheckedGateway.start()) {
      gateway.platform().members().forEach(member -> member.answerAfter(30));
      gateway.faults(
          faults ->
              faults.share(
                  request -> request.kind().equals("START"),
                  0.5,
                  SEED,
                  AnswerFault.repeatBeforeNext()));
      List<Callable<Void>> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        String name = "c" + i;
        callers.add(
            () -> {
              for (int j = 0; j < ROUNDS; j++) {
                try (RecordedCaller caller = gateway.caller("own")) {
                  caller.query("READ " + name);
                  caller.query("WRITE " + name + " " + j);
                }
              }
              return null;
            });
      }
      for (Future<Void> run : threads.invokeAll(callers)) {
        run.get();
      }

      assertThat(gateway.violations()).isEmpty();
      assertThat(gateway.repeated()).isPositive();
    } finally {
      threads.shutdownNow();
    }
  }
}
