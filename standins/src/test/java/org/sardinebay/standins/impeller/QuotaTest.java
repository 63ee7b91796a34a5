package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.standins.platform.FreePorts;

/** Three hosts that serve callers of one workspace with a rate, which all of them count against. */
class QuotaTest {
  private static final String KEY = "test";
  private static final int HOSTS = 3;
  private static final int RATE = 20;
  private static final long WINDOW_MILLIS = 5_000;

  /** Rate times window plus burst, with the tolerance of the default rule. */
  private static final double ALLOWED = (RATE * 5 + RATE) * 1.1 + 20;

  private final List<Address> callers = new ArrayList<>();
  private final List<RunningProcess> hosts = new ArrayList<>();
  private LineProtocolPlatform platform;

  @BeforeEach
  void startAll() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    platform.limitWorkspace(KEY, RATE);
    GatewayFleet fleet = new GatewayFleet(platform.address());
    for (int i = 0; i < HOSTS; i++) {
      callers.add(FreePorts.next());
      hosts.add(fleet.start(callers.get(i), "host-" + i, "hall-m-" + (1 + i % 2)));
    }
    for (Address address : callers) {
      GatewayFleet.await(() -> read(address).startsWith("ROW"), this::dumps);
    }
    // Until a host takes the fleet to be complete, its shard is smaller.
    GatewayFleet.await(
        () -> hosts.stream().allMatch(QuotaTest::keepsOneOfThreeShards), this::dumps);
  }

  private static boolean keepsOneOfThreeShards(RunningProcess host) {
    JsonNode bucket = host.dump().at("/quotas/buckets/workspace-" + KEY);
    return Math.abs(bucket.path("tokensPerSecond").asDouble() - (double) RATE / HOSTS) < 0.01;
  }

  @AfterEach
  void stopAll() throws Exception {
    hosts.parallelStream().forEach(RunningProcess::shutdown);
    platform.close();
  }

  private String dumps() {
    return "dumps: " + hosts.stream().map(host -> host.dump().toString()).toList();
  }

  private static String read(Address host) throws IOException {
    try (LineCaller caller = LineCaller.open(host, "aged")) {
      return caller.query("READ x").get(0);
    }
  }

  /** When statements ran, and the texts of the refusals. */
  private record Outcomes(List<Long> ranAt, List<String> refusals) {}

  private static Outcomes sendFor(long millis, List<Address> gateways) {
    Outcomes outcomes = new Outcomes(new CopyOnWriteArrayList<>(), new CopyOnWriteArrayList<>());
    long end = Clock.system().millis() + millis;
    CompletableFuture.allOf(
            gateways.stream()
                .map(gateway -> CompletableFuture.runAsync(() -> send(gateway, end, outcomes)))
                .toArray(CompletableFuture<?>[]::new))
        .join();
    return outcomes;
  }

  private static void send(Address gateway, long end, Outcomes outcomes) {
    try (LineCaller caller = LineCaller.open(gateway, "aged")) {
      while (Clock.system().millis() < end) {
        String first = caller.query("READ x").get(0);
        if (first.startsWith("ROW")) {
          outcomes.ranAt().add(Clock.system().millis());
        } else {
          outcomes.refusals().add(first);
        }
        Thread.sleep(5);
      }
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static int mostInOneWindow(List<Long> ranAt) {
    return ranAt.stream()
        .mapToInt(
            end -> (int) ranAt.stream().filter(at -> at > end - WINDOW_MILLIS && at <= end).count())
        .max()
        .orElse(0);
  }

  @Test
  void should_limit_the_operations_of_all_hosts_together() {
    Outcomes outcomes = sendFor(8_000, callers);

    assertThat(mostInOneWindow(outcomes.ranAt())).isLessThanOrEqualTo((int) ALLOWED);
    assertThat(outcomes.ranAt()).hasSizeGreaterThan(8 * RATE * 8 / 10);
    assertThat(outcomes.refusals())
        .isNotEmpty()
        .allMatch(text -> text.startsWith("ERR BUSY") && text.contains("quota"))
        .allMatch(text -> text.matches(".*retry in [0-9]+ ms"));
  }

  @Test
  void should_count_a_transaction_once() throws Exception {
    platform.limitWorkspace(KEY, 1);
    GatewayFleet.await(() -> sendFor(500, callers).ranAt().size() < 3, this::dumps);
    GatewayFleet.await(() -> transaction().startsWith("DONE"), this::dumps);
    assertThat(platform.group().commitsOf("t")).isEqualTo(1);
  }

  /** Runs a transaction of many statements, at a rate of one operation a second. */
  private String transaction() throws IOException {
    try (LineCaller caller = LineCaller.open(callers.get(0), "strict")) {
      caller.query("BEGIN");
      String first = caller.query("WRITE t 1").get(0);
      for (int i = 0; i < 10 && first.startsWith("DONE"); i++) {
        assertThat(caller.query("READ t").get(0)).isEqualTo("ROW 1{}");
      }
      return caller.query("COMMIT").get(0);
    }
  }

  @Test
  void should_serve_at_the_rate_of_the_other_shards_when_a_keeper_ends() {
    hosts.get(2).shutdown();

    Outcomes outcomes = sendFor(5_000, callers.subList(0, 2));

    assertThat(outcomes.ranAt()).hasSizeGreaterThan(5 * RATE / 2);
    assertThat(mostInOneWindow(outcomes.ranAt())).isLessThanOrEqualTo((int) ALLOWED);
  }
}
