package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Two hosts and members that allow too few connections for both, so that one host is the home of
 * the service and the other forwards its statements to the home.
 */
class HomesTest {
  private static final int TOO_FEW_CONNECTIONS = 4;
  private static final long LONGER_THAN_ANY_TEST_MILLIS = 120_000;

  private record Host(Address callers, RunningProcess process) {}

  private final List<Host> hosts = new ArrayList<>();
  private LineProtocolPlatform platform;
  private Host home;
  private Host other;

  @BeforeEach
  void startAll() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    platform.limitConnections(TOO_FEW_CONNECTIONS);
    GatewayFleet fleet = new GatewayFleet(platform.address());
    for (String name : List.of("host-1", "host-2")) {
      Address callers = FreePorts.next();
      hosts.add(new Host(callers, fleet.start(callers, name, "hall-m-1")));
    }
    GatewayFleet.await(this::allKnowEachOther, this::dumps);
    GatewayFleet.await(() -> homes().size() == 1, this::dumps);
    home = homes().get(0);
    other =
        hosts.stream()
            .filter(host -> !host.callers().equals(home.callers()))
            .findFirst()
            .orElseThrow();
    GatewayFleet.await(() -> read(other, "probe").startsWith("ROW"), this::dumps);
    GatewayFleet.await(() -> connections(other) == 0, this::dumps);
  }

  @AfterEach
  void stopAll() throws Exception {
    hosts.parallelStream().forEach(host -> host.process().shutdown());
    platform.close();
  }

  private boolean allKnowEachOther() {
    return hosts.stream()
        .allMatch(
            host ->
                host.process().dump().path("hosts").asInt() == hosts.size()
                    && service(host).has("home"));
  }

  private List<Host> homes() {
    return hosts.stream().filter(host -> service(host).path("home").asBoolean()).toList();
  }

  private static JsonNode service(Host host) {
    return host.process().dump().at("/services/0");
  }

  private static int connections(Host host) {
    int sum = 0;
    for (JsonNode member : service(host).path("members")) {
      sum += member.path("connections").asInt();
    }
    return sum;
  }

  private String dumps() {
    return "dumps: " + hosts.stream().map(host -> host.process().dump().toString()).toList();
  }

  private static String read(Host host, String item) throws IOException {
    try (LineCaller caller = LineCaller.open(host.callers(), "strict")) {
      return caller.query("READ " + item).get(0);
    }
  }

  @Test
  void should_forward_statements_of_the_other_host_to_the_home() throws Exception {
    try (LineCaller caller = LineCaller.open(other.callers(), "own")) {
      List<String> written = caller.query("WRITE a 17 sealed");
      assertThat(written.get(0)).isEqualTo(SignedAnswers.doneLine(platform, caller));
      List<String> read = caller.query("READ a");
      assertThat(read)
          .startsWith("ROW 17 sealed{}", SignedAnswers.doneLine(platform, caller))
          .hasSize(3);
    }
    assertThat(connections(other)).isZero();
    assertThat(connections(home)).isPositive();
  }

  @Test
  void should_apply_session_values_and_prepared_statements_at_the_home() throws Exception {
    try (LineCaller one = LineCaller.open(other.callers(), "strict");
        LineCaller two = LineCaller.open(home.callers(), "strict")) {
      two.query("PREPARE q WRITE shape0");
      two.query("EXEC q k old");
      one.query("SET zone north");
      one.query("PREPARE q READ shape1");

      assertThat(one.query("EXEC q k").get(0)).isEqualTo("ROW old{zone=north}");
      assertThat(two.query("READ k").get(0)).isEqualTo("ROW old{}");
    }
  }

  @Test
  void should_commit_a_transaction_at_the_home() throws Exception {
    try (LineCaller caller = LineCaller.open(other.callers(), "strict")) {
      caller.query("BEGIN");
      caller.query("WRITE t 1");
      assertThat(caller.query("READ t").get(0)).isEqualTo("ROW 1{}");
      assertThat(caller.query("COMMIT").get(0)).startsWith("DONE");
    }
    assertThat(platform.group().commitsOf("t")).isEqualTo(1);
  }

  @Test
  void should_roll_back_at_the_home_when_the_caller_disconnects() throws Exception {
    try (LineCaller caller = LineCaller.open(other.callers(), "strict")) {
      caller.query("BEGIN");
      caller.query("WRITE t 1");
    }
    assertThat(read(other, "t")).isEqualTo("ROW -{}");
    assertThat(platform.group().commitsOf("t")).isZero();
  }

  @Test
  void should_roll_back_at_the_home_on_request() throws Exception {
    try (LineCaller caller = LineCaller.open(other.callers(), "strict")) {
      caller.query("BEGIN");
      caller.query("WRITE t 1");
      assertThat(caller.query("ROLLBACK").get(0)).startsWith("DONE");
      assertThat(caller.query("READ t").get(0)).isEqualTo("ROW -{}");
    }
  }

  @Test
  void should_report_a_write_in_doubt_when_the_home_gets_no_answer() throws Exception {
    platform.member(0).loseAnswers(1);
    try (LineCaller caller = LineCaller.open(other.callers(), "strict")) {
      assertThat(caller.query("WRITE d 1").get(0)).startsWith("ERR INDOUBT");
    }
    assertThat(platform.group().commitsOf("d")).isEqualTo(1);
  }

  @Test
  void should_connect_to_the_members_when_the_home_shuts_down() throws Exception {
    home.process().shutdown();

    GatewayFleet.await(() -> read(other, "x").startsWith("ROW"), this::dumps);
    assertThat(connections(other)).isPositive();
  }

  @Test
  void should_abort_a_transaction_when_the_home_shuts_down() throws Exception {
    try (LineCaller caller = LineCaller.open(other.callers(), "strict")) {
      caller.query("BEGIN");
      caller.query("WRITE t 1");
      home.process().shutdown();

      assertThat(caller.query("COMMIT").get(0)).startsWith("ERR ABORTED");
    }
    assertThat(platform.group().commitsOf("t")).isZero();
  }

  /** A withdrawn key must not keep a transaction open at another host than the caller's. */
  @Test
  void should_roll_back_at_the_home_when_the_key_is_withdrawn() throws Exception {
    platform.transactionIdleMillis(LONGER_THAN_ANY_TEST_MILLIS);
    platform.configureWorkspaces(PlatformWorkspace.of("acme", "test"));
    GatewayFleet.await(() -> firstLine("START strict bogus").startsWith("ERR"), this::dumps);
    try (LineCaller caller = LineCaller.open(other.callers(), "strict")) {
      caller.query("BEGIN");
      caller.query("WRITE t 1");
      platform.configureWorkspaces(PlatformWorkspace.of("acme"));
      GatewayFleet.await(() -> ranAtPrimary("ROLLBACK"), this::dumps);

      assertThat(caller.query("COMMIT").get(0)).startsWith("ERR ABORTED");
    }
    assertThat(ranAtPrimary("COMMIT")).isFalse();
    assertThat(platform.group().commitsOf("t")).isZero();
  }

  private String firstLine(String start) throws IOException {
    try (LineCaller caller = new LineCaller(other.callers())) {
      caller.send(start + "\r\n");
      return caller.readLine();
    }
  }

  private boolean ranAtPrimary(String text) {
    return platform.member(0).recording().statements().stream()
        .anyMatch(statement -> statement.text().equals(text));
  }
}
