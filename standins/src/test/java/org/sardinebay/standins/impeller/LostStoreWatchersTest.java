package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.StoreWatchers;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.session.RegisteredHost;
import org.sardinebay.standins.platform.FreePorts;
import org.sardinebay.standins.relay.LinkSettings;
import org.sardinebay.standins.relay.RelayMain;
import org.sardinebay.standins.relay.RelaySettings;

/**
 * Guards against a configuration that hosts miss because those that watch the store for them have
 * lost it.
 */
class LostStoreWatchersTest {
  private static final int HOSTS = 14;
  private static final int TIMEOUT_MILLIS = 2_000;

  /** After this time, the watches that hosts began before they knew each other have ended. */
  private static final long FIRST_WATCHES_MILLIS = 4_000;

  private static final String STORE = "store";

  private final JsonHttpClient http = JsonHttpClient.start("watchers-test", 1);
  private final ExecutorService shutdowns = Executors.newFixedThreadPool(HOSTS);
  private final Address relayCommands = FreePorts.next();
  private final Map<String, RunningProcess> gateways = new LinkedHashMap<>();
  private LineProtocolPlatform platform;
  private RunningProcess relay;

  @BeforeEach
  void startFleet() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    List<LinkSettings> links = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      links.add(new LinkSettings(name(i), STORE, FreePorts.next(), platform.address(), 0));
    }
    relay = new RelayMain().start(new RelaySettings(relayCommands, links));
    GatewayFleet fleet = new GatewayFleet(platform.address());
    for (int i = 0; i < HOSTS; i++) {
      gateways.put(
          name(i), fleet.start(FreePorts.next(), name(i), domain(i), links.get(i).listen()));
    }
    awaitAll(gateways, "hosts", HOSTS);
    awaitAll(gateways, "configuration", 3);
    Thread.sleep(FIRST_WATCHES_MILLIS);
  }

  @AfterEach
  void stopAll() throws Exception {
    CompletableFuture.allOf(
            gateways.values().stream()
                .map(gateway -> CompletableFuture.runAsync(gateway::shutdown, shutdowns))
                .toArray(CompletableFuture[]::new))
        .join();
    shutdowns.shutdown();
    relay.shutdown();
    platform.close();
    http.stop();
  }

  @Test
  void should_apply_a_configuration_while_the_hosts_that_watch_the_store_have_lost_it()
      throws Exception {
    List<String> watchers = watchers();
    command("/links", watchers, body -> body.put("cut", "both"));
    command("/silence", List.of("*"), body -> {});

    platform.configure("strict", "aged");

    Map<String, RunningProcess> others = new LinkedHashMap<>(gateways);
    others.keySet().removeAll(watchers);
    assertThat(others).hasSize(HOSTS - 4);
    awaitAll(others, "configuration", 6);
  }

  private static String name(int i) {
    return "host-" + i;
  }

  private static String domain(int i) {
    return "hall-m-" + (1 + i % 2);
  }

  private static List<String> watchers() {
    List<RegisteredHost> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(
          new RegisteredHost(
              new HostId(name(i)), new FailureDomain(domain(i)), new Address("127.0.0.1", 1 + i)));
    }
    return hosts.stream()
        .map(RegisteredHost::id)
        .filter(host -> StoreWatchers.watchesClosely(host, hosts))
        .map(HostId::value)
        .toList();
  }

  private interface Change {
    void addTo(ObjectNode body);
  }

  private void command(String path, List<String> sources, Change change) {
    ObjectNode body = Json.newObject();
    ArrayNode names = body.putArray("sources");
    sources.forEach(names::add);
    body.putArray("targets").add("*");
    change.addTo(body);
    HttpCallResult result =
        http.call(HttpMethod.POST, relayCommands, path, Optional.of(body), TIMEOUT_MILLIS).join();
    assertThat(result)
        .isInstanceOfSatisfying(
            HttpCallResult.Response.class,
            response -> assertThat(response.status()).isEqualTo(200));
  }

  private static void awaitAll(Map<String, RunningProcess> processes, String field, int value)
      throws Exception {
    for (RunningProcess process : processes.values()) {
      GatewayFleet.await(
          () -> process.dump().path(field).asInt() == value, () -> "dump: " + process.dump());
    }
  }
}
