package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Hosts, members and callers of several workspaces. Guards against statements that run on a
 * connection of another workspace: the item that a statement names is the name of its workspace.
 */
class WorkspaceConnectionsTest {
  private static final List<String> WORKSPACES = List.of("gozi", "wadi", "tarn");

  private final List<RunningProcess> hosts = new ArrayList<>();
  private LineProtocolPlatform platform;
  private GatewayFleet fleet;

  @BeforeEach
  void startPlatform() throws IOException {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    platform.configureWorkspaces(
        WORKSPACES.stream()
            .map(name -> PlatformWorkspace.of(name, name + "-key"))
            .toArray(PlatformWorkspace[]::new));
    fleet = new GatewayFleet(platform.address());
  }

  @AfterEach
  void stopAll() throws Exception {
    hosts.parallelStream().forEach(RunningProcess::shutdown);
    platform.close();
  }

  private Address startHost(String name) throws Exception {
    return startHost(name, "hall-m-1");
  }

  private Address startHost(String name, String failureDomain) throws Exception {
    Address callers = FreePorts.next();
    hosts.add(fleet.start(callers, name, failureDomain));
    await(() -> query(callers, "gozi", "READ gozi").startsWith("ROW"));
    return callers;
  }

  private void await(Callable<Boolean> condition) throws Exception {
    GatewayFleet.await(
        condition, () -> "dumps: " + hosts.stream().map(host -> host.dump().toString()).toList());
  }

  private static LineCaller open(Address host, String workspace) throws IOException {
    return LineCaller.open(host, "strict", workspace + "-key");
  }

  private static String query(Address host, String workspace, String statement) throws IOException {
    try (LineCaller caller = open(host, workspace)) {
      return caller.query(statement).get(0);
    }
  }

  /** False if the host was too busy after its start to take on the transaction. */
  private static boolean writesInTransaction(Address host, String workspace) throws IOException {
    try (LineCaller caller = open(host, workspace)) {
      caller.query("BEGIN");
      caller.query("WRITE " + workspace + " 2");
      return caller.query("COMMIT").get(0).startsWith("DONE");
    }
  }

  /** Returns the callers' statements that ran, without those of the hosts themselves. */
  private Stream<MemberRecording.RanStatement> ran() {
    return IntStream.range(0, 3)
        .mapToObj(platform::member)
        .flatMap(member -> member.recording().statements().stream())
        .filter(ran -> !ran.requestId().equals("-"));
  }

  private void assertUsersMatchItems() {
    assertThat(ran().filter(ran -> ran.text().matches("(AFTER \\S+ )?(READ|WRITE|EXEC) .*")))
        .isNotEmpty()
        .allSatisfy(ran -> assertThat(ran.text().split(" ")).contains(ran.startedFor()));
  }

  @Nested
  class OneHost {
    private Address host;

    @BeforeEach
    void start() throws Exception {
      host = startHost("host-1");
    }

    @Test
    void should_run_single_statements_and_transactions_for_their_workspace() throws Exception {
      for (String workspace : WORKSPACES) {
        try (LineCaller caller = open(host, workspace)) {
          caller.query("WRITE " + workspace + " 1");
          caller.query("BEGIN");
          caller.query("WRITE " + workspace + " 2");
          assertThat(caller.query("COMMIT").get(0)).startsWith("DONE");
          assertThat(caller.query("READ " + workspace).get(0)).isEqualTo("ROW 2{}");
        }
      }
      assertUsersMatchItems();
      assertThat(
              ran()
                  .filter(ran -> ran.text().startsWith("COMMIT"))
                  .map(MemberRecording.RanStatement::startedFor))
          .containsExactlyInAnyOrderElementsOf(WORKSPACES);
    }

    @Test
    void should_keep_prepared_statements_of_a_workspace_on_its_connections() throws Exception {
      for (int i = 0; i < 3; i++) {
        for (String workspace : WORKSPACES) {
          try (LineCaller caller = open(host, workspace)) {
            caller.query("PREPARE q READ shape1");
            assertThat(caller.query("EXEC q " + workspace).get(0)).isEqualTo("ROW -{}");
          }
        }
      }
      assertUsersMatchItems();
    }

    @Test
    void should_run_statements_for_their_workspace_after_a_member_has_crashed() throws Exception {
      platform.member(0).crash();
      for (String workspace : WORKSPACES) {
        await(() -> query(host, workspace, "READ " + workspace).startsWith("ROW"));
      }
      assertUsersMatchItems();
    }

    /** Guards against a transaction that goes on in the name of a former workspace. */
    @Test
    void should_abort_a_transaction_whose_key_moves_to_another_workspace() throws Exception {
      try (LineCaller caller = open(host, "gozi")) {
        caller.query("BEGIN");
        assertThat(caller.query("WRITE gozi 1").get(0)).startsWith("DONE");
        platform.configureWorkspaces(PlatformWorkspace.of("wadi", "gozi-key"));
        await(() -> hosts.get(0).dump().path("configuration").asInt() == platform.version());
        assertThat(caller.query("WRITE gozi 2").get(0)).startsWith("ERR ABORTED");
      }
      assertThat(platform.group().commitsOf("gozi")).isZero();
      assertUsersMatchItems();
    }

    @Test
    void should_run_statements_without_a_key_in_the_name_of_the_host() throws Exception {
      try (LineCaller caller = LineCaller.open(host, "open", "unknown")) {
        assertThat(caller.query("READ host-1").get(0)).isEqualTo("ROW -{}");
      }
      assertUsersMatchItems();
    }
  }

  @Nested
  class OneConnectionToEachMember {
    private Address host;

    @BeforeEach
    void start() throws Exception {
      // Idle transactions are preempted after a tenth of this, later than statements wait here.
      platform.transactionIdleMillis(10_000);
      platform.limitConnections(1);
      host = startHost("host-1");
    }

    @Test
    void should_alternate_between_workspaces() throws Exception {
      try (LineCaller one = open(host, "gozi");
          LineCaller other = open(host, "wadi")) {
        for (int i = 0; i < 10; i++) {
          assertThat(one.query("READ gozi").get(0)).isEqualTo("ROW -{}");
          assertThat(other.query("READ wadi").get(0)).isEqualTo("ROW -{}");
        }
      }
      assertUsersMatchItems();
    }

    @Test
    void should_serve_callers_of_all_workspaces_at_the_same_time() throws Exception {
      ExecutorService threads = Executors.newFixedThreadPool(WORKSPACES.size());
      try {
        List<Future<?>> callers = new ArrayList<>();
        for (String workspace : WORKSPACES) {
          callers.add(threads.submit(() -> readTwentyTimes(workspace)));
        }
        for (Future<?> caller : callers) {
          caller.get();
        }
      } finally {
        threads.shutdownNow();
      }
      assertUsersMatchItems();
    }

    private Void readTwentyTimes(String workspace) throws IOException {
      try (LineCaller caller = open(host, workspace)) {
        for (int i = 0; i < 20; i++) {
          assertThat(caller.query("READ " + workspace).get(0)).isEqualTo("ROW -{}");
        }
      }
      return null;
    }

    @Test
    void should_not_replace_a_connection_that_a_transaction_holds() throws Exception {
      try (LineCaller holder = open(host, "gozi")) {
        holder.query("BEGIN");
        holder.query("WRITE gozi 1");
        assertThat(query(host, "wadi", "READ wadi")).startsWith("ERR BUSY");
        assertThat(holder.query("COMMIT").get(0)).startsWith("DONE");
      }
      assertThat(query(host, "wadi", "READ wadi")).isEqualTo("ROW -{}");
    }
  }

  /** Guards against a host that keeps idle connections of one workspace while others wait. */
  @Test
  void should_close_an_idle_connection_when_the_member_refuses_another() throws Exception {
    Address host = startHost("host-1");
    await(() -> platform.member(0).connections() > 0);
    for (int i = 0; i < 3; i++) {
      platform.member(i).limitConnections(platform.member(i).connections());
    }
    for (String workspace : WORKSPACES) {
      await(() -> query(host, workspace, "READ " + workspace).startsWith("ROW"));
    }
    assertUsersMatchItems();
  }

  @Test
  void should_run_forwarded_statements_for_their_workspace() throws Exception {
    platform.limitConnections(4);
    List<Address> callers = List.of(startHost("host-1"), startHost("host-2"));
    for (Address host : callers) {
      for (String workspace : WORKSPACES) {
        await(() -> writesInTransaction(host, workspace));
      }
    }
    assertUsersMatchItems();
  }

  /** Guards against statements that are lost with the home near the primary. */
  @Test
  void should_run_statements_at_the_primary_with_and_without_a_home_near_it() throws Exception {
    platform.limitConnections(8);
    startHost("host-1", "hall-m-1");
    Address far = startHost("host-2", "hall-m-2");
    await(() -> hosts.get(1).dump().path("hosts").asInt() == 2);
    for (String workspace : WORKSPACES) {
      await(() -> query(far, workspace, "WRITE " + workspace + " 1").startsWith("DONE"));
    }
    hosts.get(0).shutdown();
    for (String workspace : WORKSPACES) {
      await(() -> query(far, workspace, "READ " + workspace).equals("ROW 1{}"));
    }
    assertUsersMatchItems();
  }
}
