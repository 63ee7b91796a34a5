package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Guards against callers whose connection just ends: a stopping gateway served sessions until it
 * closed all sockets, and the statements that members ran at that moment got no answer.
 */
class ShutdownTest {
  /** Longer than a shutdown takes. */
  private static final long NEVER_MILLIS = 60_000;

  /**
   * From when on statements are sent, in milliseconds after the start of the shutdown, so that some
   * are still running at its end.
   */
  private static final long SENT_AFTER_MILLIS = 1_100;

  private static final int CALLERS = 8;
  private static final long INTERVAL_MILLIS = 100;

  private LineProtocolPlatform platform;
  private RunningProcess gateway;
  private Address callers;
  private Thread stopping;

  @BeforeEach
  void startAll() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    callers = FreePorts.next();
    gateway = new GatewayFleet(platform.address()).start(callers, "host-1", "hall-m-1");
    stopping = new Thread(gateway::shutdown);
    GatewayFleet.await(
        () -> LineCaller.open(callers, "strict").query("READ a").get(0).startsWith("ROW"),
        () -> "dump: " + gateway.dump());
  }

  @AfterEach
  void stopAll() throws Exception {
    stopping.join();
    platform.close();
  }

  /** Returns the answers to statements that members don't answer, sent during a shutdown. */
  private List<List<String>> answersOfStoppingGateway(String statement) throws Exception {
    for (int i = 0; i < 3; i++) {
      platform.member(i).answerAfter(NEVER_MILLIS);
    }
    stopping.start();
    Thread.sleep(SENT_AFTER_MILLIS);
    ExecutorService pool = Executors.newFixedThreadPool(CALLERS);
    try {
      List<Future<List<String>>> answers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        answers.add(pool.submit(() -> query(statement)));
        Thread.sleep(INTERVAL_MILLIS);
      }
      List<List<String>> complete = new ArrayList<>();
      for (Future<List<String>> answer : answers) {
        complete.add(answer.get());
      }
      return complete;
    } finally {
      pool.shutdownNow();
    }
  }

  private List<String> query(String statement) {
    try (LineCaller caller = LineCaller.open(callers, "strict")) {
      return caller.query(statement);
    } catch (IOException e) {
      return List.of("session refused", "READY");
    }
  }

  @Test
  void should_answer_each_read_before_connections_are_closed() throws Exception {
    assertThat(answersOfStoppingGateway("READ a"))
        .allSatisfy(answer -> assertThat(answer).last().asString().startsWith("READY"))
        .anySatisfy(answer -> assertThat(answer.get(0)).contains("before this host stopped"));
  }

  @Test
  void should_report_each_write_in_doubt_that_is_still_running() throws Exception {
    assertThat(answersOfStoppingGateway("WRITE a 1"))
        .allSatisfy(answer -> assertThat(answer).last().asString().startsWith("READY"))
        .anySatisfy(answer -> assertThat(answer.get(0)).startsWith("ERR INDOUBT"));
  }

  @Test
  void should_serve_sessions_and_then_refuse_them_until_connections_are_closed() throws Exception {
    stopping.start();
    String first = startSession();
    String last = first;
    while (stopping.isAlive() && !last.startsWith("ERR")) {
      last = startSession();
    }

    assertThat(first).startsWith("READY I");
    assertThat(last).startsWith("ERR BUSY not run");
  }

  private String startSession() {
    try (LineCaller caller = new LineCaller(callers)) {
      caller.send("START strict\r\n");
      return String.valueOf(caller.readLine());
    } catch (IOException e) {
      return e.toString();
    }
  }
}
