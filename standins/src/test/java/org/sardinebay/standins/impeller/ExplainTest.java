package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.ctl.CtlMain;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Checks that {@code sardinebayctl explain}, as docs/OPERATIONS.md describes it, finds the cause of
 * failed requests in the gateway's log.
 */
class ExplainTest {
  @TempDir private Path directory;

  private CapturedLog log;
  private LineProtocolPlatform platform;
  private RunningProcess gateway;
  private Address callers;

  @BeforeEach
  void startAll() throws Exception {
    log = CapturedLog.open();
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    callers = FreePorts.next();
    gateway = new GatewayFleet(platform.address()).start(callers, "host-1", "hall-m-1");
    GatewayFleet.await(
        () -> answer("strict", "READ probe").startsWith("ROW"), () -> "dump: " + gateway.dump());
  }

  @AfterEach
  void stopAll() throws Exception {
    gateway.shutdown();
    platform.close();
    log.close();
  }

  private String answer(String database, String statement) throws IOException {
    try (LineCaller caller = LineCaller.open(callers, database)) {
      return caller.query(statement).get(0);
    }
  }

  private String lastFailedRequest() {
    return log.events("statement_failed").stream()
        .reduce((earlier, later) -> later)
        .orElseThrow()
        .field("request");
  }

  private String explain(String request) throws IOException {
    Path file = directory.resolve("host-1.log");
    Files.writeString(file, String.join("", log.lines()));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream printed = new PrintStream(out, true, StandardCharsets.UTF_8);
    CtlMain.run(printed, printed, "explain", request, file.toString());
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String cause(String explanation) {
    return explanation
        .lines()
        .filter(line -> line.startsWith("cause: "))
        .findFirst()
        .orElse(explanation);
  }

  @Test
  void should_name_the_member_that_lost_the_answer_of_a_write_in_doubt() throws Exception {
    platform.member(0).loseAnswers(1);
    assertThat(answer("strict", "WRITE a 1")).startsWith("ERR INDOUBT");

    assertThat(cause(explain(lastFailedRequest())))
        .startsWith("cause: the answer of m-1 to a write that had been sent was lost");
  }

  @Test
  void should_name_the_crashed_primary_for_a_statement_refused_during_failover() throws Exception {
    platform.member(0).crash();
    String refused = answer("strict", "READ a");
    assertThat(refused).startsWith("ERR BUSY");
    Thread.sleep(600);

    assertThat(cause(explain(lastFailedRequest())))
        .contains("no primary could be relied upon for")
        .contains("m-1");
  }

  @Test
  void should_name_the_exhausted_connections_for_a_statement_refused_under_load() throws Exception {
    platform.limitConnections(1);
    Thread.sleep(300);
    try (LineCaller holder = LineCaller.open(callers, "strict");
        LineCaller second = LineCaller.open(callers, "strict")) {
      holder.query("BEGIN");
      holder.query("WRITE h 1");
      for (int i = 0; i < 40; i++) {
        if (second.query("READ a").get(0).startsWith("ERR BUSY")) {
          break;
        }
      }
    }

    assertThat(cause(explain(lastFailedRequest())))
        .contains("all connections of this host to the members were in use");
  }

  @Test
  void should_explain_a_transaction_that_its_member_lost() throws Exception {
    try (LineCaller caller = LineCaller.open(callers, "strict")) {
      caller.query("BEGIN");
      caller.query("WRITE t 1");
      platform.member(0).crash();
      assertThat(caller.query("WRITE t 2").get(0)).startsWith("ERR ABORTED");
    }

    assertThat(cause(explain(lastFailedRequest())))
        .startsWith("cause: rolled back: the connection to the member was lost");
  }

  @Test
  void should_report_that_no_line_names_the_request() throws Exception {
    assertThat(explain("nobody-sent-this")).contains("no line names the request");
  }
}
