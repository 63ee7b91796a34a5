package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
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
 * A host that a replica refuses because its connections are taken, as after a loss of power of all
 * hosts: it can't rely on the primary. The other host can, but has statements waiting.
 */
class RefusedByReplicaTest {
  private static final int PRIMARY = 0;
  private static final int REPLICA = 1;

  /** More than one host's share of the connections to the primary, so that some always wait. */
  private static final int CALLERS_OF_LOADED_HOST = 10;

  private static final int CALLERS = 4;
  private static final int WRITES = 10;
  private static final long ANSWER_MILLIS = 40;

  private final Clock clock = Clock.system();
  private final List<RunningProcess> hosts = new ArrayList<>();
  private final Address loadedHost = FreePorts.next();
  private final Address refusedHost = FreePorts.next();
  private final ExecutorService threads =
      Executors.newFixedThreadPool(CALLERS_OF_LOADED_HOST + CALLERS);
  private LineProtocolPlatform platform;
  private volatile boolean ended;

  @BeforeEach
  void startAll() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, clock);
    GatewayFleet fleet = new GatewayFleet(platform.address());
    hosts.add(fleet.start(loadedHost, "host-1", "hall-m-1"));
    GatewayFleet.await(() -> writes(loadedHost, "first"), this::dumps);
    platform.member(REPLICA).limitConnections(platform.member(REPLICA).connections());
    hosts.add(fleet.start(refusedHost, "host-2", "hall-m-1"));
    GatewayFleet.await(
        () -> hosts.stream().allMatch(host -> host.dump().path("hosts").asInt() == 2), this::dumps);
    GatewayFleet.await(() -> writes(refusedHost, "second"), this::dumps);
  }

  @AfterEach
  void stopAll() throws Exception {
    ended = true;
    threads.shutdownNow();
    hosts.parallelStream().forEach(RunningProcess::shutdown);
    platform.close();
  }

  private String dumps() {
    return "dumps: " + hosts.stream().map(host -> host.dump().toString()).toList();
  }

  private static boolean writes(Address host, String item) throws IOException {
    try (LineCaller caller = LineCaller.open(host, "strict")) {
      return caller.query("WRITE " + item + " 1").get(0).startsWith("DONE");
    }
  }

  private void keepLoadedHostBusy() {
    platform.member(PRIMARY).answerAfter(ANSWER_MILLIS);
    for (int i = 0; i < CALLERS_OF_LOADED_HOST; i++) {
      String item = "load" + i;
      threads.execute(
          () -> {
            while (!ended) {
              try {
                writes(loadedHost, item);
              } catch (IOException e) {
                return;
              }
            }
          });
    }
  }

  /**
   * Guards against writes that were rejected for want of a primary, although another host could run
   * them after a short wait: offers to a host with waiting statements came back at once.
   */
  @Test
  void should_serve_writes_through_a_loaded_host_that_relies_on_the_primary() throws Exception {
    keepLoadedHostBusy();
    List<Callable<Integer>> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      String item = "refused" + i + "-";
      callers.add(
          () -> {
            int done = 0;
            for (int j = 0; j < WRITES; j++) {
              done += writes(refusedHost, item + j) ? 1 : 0;
            }
            return done;
          });
    }

    int done = 0;
    for (Future<Integer> writes : threads.invokeAll(callers)) {
      done += writes.get();
    }

    assertThat(done).isGreaterThan(CALLERS * WRITES / 2);
  }
}
