package org.sardinebay.proxy.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.CallerId;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.RetryBudget;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.VersionedRecord;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;

class DatabaseRegistryTest {
  private static final DatabaseId DATABASE = new DatabaseId("contracts-1");

  private final AtomicLong version = new AtomicLong();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final ConfigStore store = new ConfigStore();
  private final DatabaseRegistry databaseRegistry =
      new DatabaseRegistry(
          new ProxyRuntime(
              new ProxyIdentity(new HostId("waco-1"), new FailureDomain("waco-hall")),
              () -> 1_000,
              timer,
              (address, call, timeoutMillis) -> new CompletableFuture<>(),
              (name, detail) -> {
                throw new AssertionError(name + ": " + detail);
              },
              new RetryBudget(),
              new SimpleMeterRegistry()),
          store);

  @BeforeEach
  void configureDatabase() {
    ObjectNode database =
        Json.newObject()
            .put("schemaVersion", 1)
            .put("service", "contracts-db")
            .put("connectionLimit", 20)
            .put("slots", 3);
    database
        .putArray("members")
        .addObject()
        .put("id", "contracts-1-a")
        .put("address", "127.0.0.1:7101")
        .put("failureDomain", "waco-hall");
    put("databases", "contracts-1", database);
    putProxy("waco-1", 1);
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private void put(String kind, String name, ObjectNode body) {
    store.merge(
        new VersionedRecord(new ObjectKey(kind, name), version.incrementAndGet(), false, body));
    databaseRegistry.refresh();
  }

  private void putProxy(String host, int port) {
    put(
        "proxies",
        host,
        Json.newObject()
            .put("schemaVersion", 1)
            .put("failureDomain", "waco-hall")
            .put("callerAddress", "127.0.0.1:" + port)
            .put("peerAddress", "127.0.0.1:" + (port + 1_000)));
  }

  private void markLeaving(String host) {
    ObjectNode hosts = Json.newObject();
    for (int i = 1; i <= 9; i++) {
      String name = "waco-" + i;
      hosts
          .withArray("hosts")
          .addObject()
          .put("name", name)
          .put("failureDomain", "waco-hall")
          .put("state", name.equals(host) ? "leaving" : "live");
    }
    put("hosts", "all", hosts);
  }

  @Nested
  class Homes {
    @Test
    void should_serve_a_database_that_this_proxy_is_a_home_of() {
      assertThat(databaseRegistry.context(DATABASE)).isPresent();
      assertThat(databaseRegistry.homes(DATABASE)).hasSize(1);
    }

    @Test
    void should_drop_a_database_whose_homes_are_other_proxies() {
      markLeaving("waco-1");
      putProxy("waco-2", 2);
      putProxy("waco-3", 3);

      databaseRegistry.sweep();

      assertThat(databaseRegistry.context(DATABASE)).isEmpty();
    }
  }

  @Nested
  class Staleness {
    @Test
    void should_apply_the_strictest_matching_rule() {
      put("staleness", "all", rule("*", "", 9_000));
      put("staleness", "tablets", rule("contracts-db", "tablet-", 5_000));

      assertThat(databaseRegistry.maxStalenessMillis(DATABASE, new CallerId("tablet-7")))
          .isEqualTo(5_000);
      assertThat(databaseRegistry.maxStalenessMillis(DATABASE, new CallerId("desk-1")))
          .isEqualTo(9_000);
    }

    private ObjectNode rule(String database, String prefix, long maxAgeMillis) {
      return Json.newObject()
          .put("schemaVersion", 2)
          .put("database", database)
          .put("callerPrefix", prefix)
          .put("maxAgeMillis", maxAgeMillis);
    }
  }
}
