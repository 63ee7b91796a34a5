package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sardinebay.standins.impeller.LineProtocolPlatform.OPEN_DATABASE;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.log.LogLine;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Guards against statements that run under a key that is unknown or was withdrawn, as when the word
 * after the database in START was skipped and revoked keys kept working. Real processes before
 * stand-ins of the store and the members.
 */
class WorkspaceKeysTest {
  private static final String KEY = "Zq7acmekey";
  private static final String OTHER_KEY = "Xw4betakey";
  private static final PlatformWorkspace ACME = PlatformWorkspace.of("acme", KEY);
  private static final PlatformWorkspace BETA = PlatformWorkspace.of("beta", OTHER_KEY);

  private CapturedLog log;
  private LineProtocolPlatform platform;
  private GatewayFleet fleet;
  private RunningProcess gateway;
  private Address callers;

  @BeforeEach
  void startAll() throws Exception {
    log = CapturedLog.open();
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    platform.configureWorkspaces(ACME, BETA);
    fleet = new GatewayFleet(platform.address());
    callers = FreePorts.next();
    gateway = fleet.start(callers, "host-1", "hall-m-1");
    await(() -> answer(callers, "strict", KEY, "READ probe").startsWith("ROW"));
  }

  @AfterEach
  void stopAll() throws Exception {
    gateway.shutdown();
    platform.close();
    log.close();
    assertThat(log.lines()).noneMatch(line -> line.contains(KEY) || line.contains(OTHER_KEY));
  }

  private void await(Callable<Boolean> condition) throws Exception {
    GatewayFleet.await(condition, () -> "dump: " + gateway.dump());
  }

  private static String answer(Address gateway, String database, String key, String statement)
      throws IOException {
    try (LineCaller caller = LineCaller.open(gateway, database, key)) {
      return caller.query(statement).get(0);
    }
  }

  private static String firstLine(Address gateway, String start) throws IOException {
    try (LineCaller caller = new LineCaller(gateway)) {
      caller.send(start + "\r\n");
      return caller.readLine();
    }
  }

  /** Withdraws the key of the workspace acme and waits until the gateway has noticed. */
  private void withdrawKey() throws Exception {
    platform.configureWorkspaces(PlatformWorkspace.of("acme"), BETA);
    await(() -> firstLine(callers, "START strict " + KEY).startsWith("ERR NOAUTH"));
  }

  private List<String> statements() {
    return platform.member(0).recording().statements().stream()
        .map(MemberRecording.RanStatement::text)
        .toList();
  }

  @Nested
  class Start {
    @ParameterizedTest
    @ValueSource(strings = {"", " ", " unknown", " Zq7acmekey more", " acme"})
    void should_be_refused_without_a_known_key(String rest) throws Exception {
      assertThat(firstLine(callers, "START strict" + rest)).startsWith("ERR NOAUTH");
    }

    @Test
    void should_be_accepted_with_a_key_of_any_workspace() throws Exception {
      assertThat(answer(callers, "own", OTHER_KEY, "READ a")).startsWith("ROW");
    }

    @Test
    void should_need_no_key_on_an_open_route() throws Exception {
      assertThat(answer(callers, OPEN_DATABASE, "", "READ a")).startsWith("ROW");
      assertThat(answer(callers, OPEN_DATABASE, "unknown", "READ a")).startsWith("ROW");
      assertThat(answer(callers, OPEN_DATABASE, KEY, "READ a")).startsWith("ROW");
    }

    @Test
    void should_be_accepted_with_a_key_that_a_new_configuration_adds() throws Exception {
      platform.configureWorkspaces(ACME, BETA, PlatformWorkspace.of("gamma", "Kx2gammakey"));

      await(() -> answer(callers, "strict", "Kx2gammakey", "READ a").startsWith("ROW"));
    }

    @Test
    void should_never_tell_a_member_a_key() throws Exception {
      assertThat(answer(callers, "strict", KEY, "WRITE a 1")).startsWith("DONE");

      assertThat(platform.member(0).recording().starts()).isNotEmpty().doesNotContain(KEY);
    }
  }

  @Nested
  class WithdrawnKey {
    @Test
    void should_close_an_idle_session_at_once() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict", KEY);
          LineCaller other = LineCaller.open(callers, "strict", OTHER_KEY)) {
        withdrawKey();

        assertThat(caller.readLine()).isNull();
        assertThat(other.query("READ a").get(0)).startsWith("ROW");
      }
    }

    @Test
    void should_be_logged_with_its_workspace_and_the_number_of_sessions() throws Exception {
      try (LineCaller one = LineCaller.open(callers, "strict", KEY);
          LineCaller two = LineCaller.open(callers, "own", KEY)) {
        // A probe's session that the gateway has not seen end yet would be counted as well.
        await(() -> gateway.dump().path("sessions").asInt() == 2);
        platform.configureWorkspaces(PlatformWorkspace.of("acme"), BETA);
        assertThat(one.readLine()).isNull();
        assertThat(two.readLine()).isNull();
      }
      await(() -> !log.events("key_withdrawn").isEmpty());
      List<LogLine> events = log.events("key_withdrawn");
      assertThat(events).hasSize(1);
      assertThat(events.get(0).field("workspace")).isEqualTo("acme");
      assertThat(events.get(0).field("sessions")).isEqualTo("2");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"WRITE t 2", "READ t", "SET a b", "PREPARE s READ q", "COMMIT", "BEGIN"})
    void should_roll_back_an_open_transaction_and_abort_its_next_statement(String statement)
        throws Exception {
      // Otherwise the transaction would also be rolled back for being idle.
      platform.transactionIdleMillis(120_000);
      platform.configureWorkspaces(ACME, BETA, PlatformWorkspace.of("gamma", "Kx2gammakey"));
      await(() -> answer(callers, "strict", "Kx2gammakey", "READ a").startsWith("ROW"));
      try (LineCaller caller = LineCaller.open(callers, "strict", KEY)) {
        caller.query("BEGIN");
        caller.query("WRITE t 1");
        withdrawKey();
        await(() -> statements().contains("ROLLBACK"));

        assertThat(caller.query(statement).get(0)).startsWith("ERR ABORTED");
        assertThat(caller.readLine()).isNull();
      }
      assertThat(platform.group().commitsOf("t")).isZero();
      assertThat(statements()).doesNotContain("COMMIT", "WRITE t 2", "READ t");
    }

    @Test
    void should_end_a_session_whose_caller_never_notices_that_its_transaction_was_rolled_back()
        throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict", KEY)) {
        caller.query("BEGIN");
        withdrawKey();

        assertThat(caller.readLine()).isNull();
      }
    }

    @Test
    void should_let_a_running_statement_be_answered() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict", KEY)) {
        platform.member(0).answerAfter(500);
        caller.send("QUERY q9 WRITE slow 1\r\n");
        await(() -> platform.group().commitsOf("slow") == 1);
        platform.configureWorkspaces(PlatformWorkspace.of("acme"), BETA);

        assertThat(caller.readLine()).startsWith("DONE");
        assertThat(caller.readLine()).startsWith("READY I");
        assertThat(caller.readLine()).isNull();
      } finally {
        platform.member(0).answerAfter(0);
      }
    }

    @Test
    void should_run_nothing_more() throws Exception {
      try (LineCaller caller = LineCaller.open(callers, "strict", KEY)) {
        withdrawKey();
        int ran = statements().size();
        assertThat(caller.query("WRITE late 1")).containsExactly("closed");
        assertThat(statements().subList(ran, statements().size())).doesNotContain("WRITE late 1");
      }
    }

    @Test
    void should_be_accepted_again_when_it_is_listed_again() throws Exception {
      withdrawKey();
      platform.configureWorkspaces(ACME, BETA);

      await(() -> answer(callers, "strict", KEY, "READ a").startsWith("ROW"));
    }
  }

  @Nested
  class MovedKey {
    @Test
    void should_end_the_session_and_serve_the_next_one_for_the_new_workspace() throws Exception {
      try (LineCaller idle = LineCaller.open(callers, "strict", KEY);
          LineCaller busy = LineCaller.open(callers, "strict", KEY)) {
        busy.query("BEGIN");
        busy.query("WRITE m 1");
        platform.configureWorkspaces(BETA, PlatformWorkspace.of("gamma", KEY));

        assertThat(idle.readLine()).isNull();
        assertThat(busy.query("COMMIT").get(0)).startsWith("ERR ABORTED");
        assertThat(busy.readLine()).isNull();
      }
      assertThat(answer(callers, "strict", KEY, "READ m")).isEqualTo("ROW -{}");
    }
  }

  @Nested
  class HostThatRestarts {
    @Test
    void should_refuse_a_withdrawn_key_with_the_configuration_of_a_peer_while_the_store_is_away()
        throws Exception {
      withdrawKey();
      platform.store().down(true);
      Address restarted = FreePorts.next();
      RunningProcess second = fleet.start(restarted, "host-2", "hall-m-1");
      try {
        await(() -> answer(restarted, "strict", OTHER_KEY, "READ a").startsWith("ROW"));

        assertThat(firstLine(restarted, "START strict " + KEY)).startsWith("ERR NOAUTH");
      } finally {
        second.shutdown();
      }
    }

    @Test
    void should_refuse_a_withdrawn_key_that_a_restored_store_lists_again() throws Exception {
      MetadataStore.Copy copy = platform.store().copy();
      withdrawKey();
      platform.store().restore(copy);
      await(() -> gateway.dump().path("storeEra").asInt() == 2);
      for (int i = 0; i < 3; i++) {
        Address restarted = FreePorts.next();
        RunningProcess second = fleet.start(restarted, "host-" + (i + 2), "hall-m-1");
        try {
          for (int j = 0; j < 30; j++) {
            assertThat(firstLine(restarted, "START strict " + KEY)).startsWith("ERR NOAUTH");
          }
        } finally {
          second.shutdown();
        }
      }
    }

    @Test
    void should_admit_nobody_while_neither_the_store_nor_a_peer_gives_it_a_configuration()
        throws Exception {
      platform.store().down(true);
      Address alone = FreePorts.next();
      RunningProcess second =
          new GatewayFleet(platform.address()).start(alone, "host-3", "hall-m-1");
      try {
        assertThat(firstLine(alone, "START strict " + KEY)).startsWith("ERR BUSY");
        assertThat(firstLine(alone, "START " + OPEN_DATABASE)).startsWith("ERR BUSY");
      } finally {
        second.shutdown();
      }
    }
  }
}
