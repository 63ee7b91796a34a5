package org.sardinebay.standins.driver;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FaultChecksTest {
  private static final long TRAFFIC_END_MILLIS = 60_000;
  private static final String LIST = "own:tablet-1:0";

  private final History history = new History();
  private DeploymentSpec spec;
  private long nextIndex = 1;

  @BeforeEach
  void load() throws IOException {
    spec = DeploymentSpec.load(Path.of("..", "deploy", "brazos.json"));
  }

  @Nested
  class Availability {
    @Test
    void should_report_a_primary_that_was_not_replaced_in_time() {
      FaultEvent kill = event(FaultKind.KILL, "contracts-1-a", 1_000, 5_000);

      writeAt(900);
      writeAt(8_000);

      assertThat(violations(kill)).anyMatch(violation -> violation.startsWith("kill"));
    }

    @Test
    void should_accept_a_primary_that_was_replaced_in_time() {
      FaultEvent kill = event(FaultKind.KILL, "contracts-1-a", 1_000, 5_000);

      writeAt(3_000);

      assertThat(violations(kill)).noneMatch(violation -> violation.startsWith("kill"));
    }

    @Test
    void should_ignore_a_late_failover_during_a_platform_outage() {
      FaultEvent kill = event(FaultKind.KILL, "contracts-1-a", 1_000, 5_000);
      FaultEvent outage = event(FaultKind.PLATFORM_OUTAGE, "platform", 500, 9_000);

      writeAt(9_500);

      assertThat(violations(kill, outage)).noneMatch(violation -> violation.startsWith("kill"));
    }

    @Test
    void should_report_writes_that_stop_during_a_platform_outage() {
      FaultEvent outage = event(FaultKind.PLATFORM_OUTAGE, "platform", 1_000, 5_000);

      writeAt(5_100);

      assertThat(violations(outage))
          .anyMatch(violation -> violation.startsWith("contracts-1 took no write in the platform"));
    }

    private List<String> violations(FaultEvent... faults) {
      return new AvailabilityCheck(history, List.of(faults))
          .check(spec, TRAFFIC_END_MILLIS)
          .violations();
    }
  }

  @Nested
  class Shutdown {
    @Test
    void should_report_a_request_without_a_response() {
      history.add(write(Attempts.failed(CallKind.WRITE, Outcome.NO_ANSWER, "", 998)));

      assertThat(passes()).isFalse();
    }

    @Test
    void should_report_an_open_transaction_that_was_aborted() {
      history.add(
          new Operation.Transaction(
              "tablet-1",
              "pair",
              "value",
              "key",
              List.of(
                  Attempts.begin(900),
                  Attempts.failed(CallKind.STATEMENT, Outcome.NOT_RUN, "shutting-down", 1_100)),
              List.of(),
              Optional.empty()));

      assertThat(passes()).isFalse();
    }

    @Test
    void should_accept_a_request_that_received_a_response() {
      history.add(write(Attempts.write("key", 998, 1, 1)));

      assertThat(passes()).isTrue();
    }

    private boolean passes() {
      FaultEvent terminate = event(FaultKind.TERMINATE, "waco-1", 1_000, 4_000);
      return GracefulShutdownCheck.check(history, List.of(terminate)).passed();
    }
  }

  @Nested
  class EndpointDrain {
    @Test
    void should_report_a_new_request_at_an_endpoint_that_began_to_leave_long_before() {
      FaultEvent leaving = event(FaultKind.LEAVING_ENDPOINT, "contracts-1-a", 1_000, 8_000);

      writeAt(6_000);

      assertThat(EndpointDrainCheck.check(history, List.of(leaving)).violations()).hasSize(1);
    }

    @Test
    void should_accept_a_request_in_the_first_seconds_of_leaving() {
      FaultEvent leaving = event(FaultKind.LEAVING_ENDPOINT, "contracts-1-a", 1_000, 8_000);

      writeAt(2_000);

      assertThat(EndpointDrainCheck.check(history, List.of(leaving)).violations()).isEmpty();
    }
  }

  private void writeAt(long sentMillis) {
    history.add(write(Attempts.write("key", sentMillis, 1, nextIndex++)));
  }

  private static Operation write(Attempt attempt) {
    return new Operation.Write("tablet-1", LIST, "value", false, "key", List.of(attempt));
  }

  private static FaultEvent event(FaultKind kind, String target, long startMillis, long endMillis) {
    Fault fault = new Fault(kind, target, "", startMillis, endMillis - startMillis, 0);
    boolean targetIsEndpoint = target.startsWith(Attempts.DATABASE);
    return new FaultEvent(
        fault,
        target,
        targetIsEndpoint ? Set.of(Attempts.DATABASE) : Set.of(),
        targetIsEndpoint ? Attempts.DATABASE : "",
        startMillis,
        endMillis);
  }
}
