package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Guards against records that are ignored as older, and leases that are held twice, after the store
 * came back from an older copy with lower revisions.
 */
class StoreRestoreTest {
  private final Address callers = FreePorts.next();
  private LineProtocolPlatform platform;
  private GatewayFleet fleet;
  private RunningProcess gateway;

  @BeforeEach
  void startAll() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    fleet = new GatewayFleet(platform.address());
    gateway = fleet.start(callers, "host-1", "hall-m-1");
    awaitVersion(gateway, 3);
  }

  @AfterEach
  void stopAll() throws Exception {
    gateway.shutdown();
    platform.close();
  }

  private static void awaitVersion(RunningProcess host, int version) throws Exception {
    GatewayFleet.await(
        () -> host.dump().path("configuration").asInt() == version, () -> "dump: " + host.dump());
  }

  private void await(Callable<Boolean> condition) throws Exception {
    GatewayFleet.await(condition, () -> "dump: " + gateway.dump());
  }

  @Nested
  class Configuration {
    @Test
    void should_be_applied_although_its_revision_is_lower_than_the_one_held() throws Exception {
      MetadataStore.Copy copy = platform.store().copy();
      for (int i = 0; i < 5; i++) {
        platform.configure("strict", "aged", "own");
      }
      awaitVersion(gateway, 18);

      platform.store().restore(copy);
      platform.configure("strict", "extra");

      awaitVersion(gateway, 21);
    }

    @Test
    void should_reach_a_host_that_starts_before_the_operator_writes_it_again() throws Exception {
      MetadataStore.Copy copy = platform.store().copy();
      platform.configure("strict", "extra");
      awaitVersion(gateway, 6);

      platform.store().restore(copy);
      await(() -> gateway.dump().path("storeEra").asInt() == 2);
      RunningProcess second = fleet.start(FreePorts.next(), "host-2", "hall-m-1");

      awaitVersion(second, 6);
      second.shutdown();
    }
  }

  @Nested
  class Promotions {
    @Test
    void should_have_a_higher_token_after_the_lease_record_was_lost() throws Exception {
      MetadataStore.Copy copy = platform.store().copy();
      platform.member(0).crash();
      await(() -> platform.store().promotions().size() == 1);
      int promoted = platform.group().isPrimary("m-2") ? 1 : 2;
      await(() -> gateway.dump().at("/services/0/leaseMillis").asLong() > 0);
      platform.member(0).start();

      platform.store().restore(copy);
      for (int i = 0; i < 3; i++) {
        platform.register(i, "ready");
      }
      platform.member(promoted).crash();
      await(() -> platform.store().promotions().size() > 1);

      List<Long> tokens =
          platform.store().promotions().stream().map(MetadataStore.Promotion::token).toList();
      assertThat(tokens.get(1)).isGreaterThan(tokens.get(0));
    }
  }

  @Nested
  class Hosts {
    @Test
    void should_register_again_if_the_store_lost_their_entries() throws Exception {
      await(() -> platform.store().contains("sardinebay-hosts", "host-1"));
      platform.store().delete("sardinebay-hosts", "host-1");
      MetadataStore.Copy copy = platform.store().copy();

      platform.store().restore(copy);

      await(() -> platform.store().contains("sardinebay-hosts", "host-1"));
    }
  }

  @Nested
  class Members {
    @Test
    void should_be_drained_although_the_revision_of_their_entry_is_lower() throws Exception {
      MetadataStore.Copy copy = platform.store().copy();
      for (int i = 0; i < 5; i++) {
        platform.register(1, "ready");
      }
      awaitEntry("m-2", false);

      platform.store().restore(copy);
      platform.register(1, "draining");

      awaitEntry("m-2", true);
    }

    @Test
    void should_be_gone_if_their_entry_is_missing_after_the_restore() throws Exception {
      platform.store().delete("servers", "m-3");
      await(() -> !members().contains("m-3"));
      MetadataStore.Copy copy = platform.store().copy();
      platform.register(2, "ready");
      await(() -> members().contains("m-3"));

      platform.store().restore(copy);

      await(() -> !members().contains("m-3"));
    }

    private void awaitEntry(String id, boolean draining) throws Exception {
      await(() -> members().contains(id) && member(id).path("draining").asBoolean() == draining);
    }

    private JsonNode member(String id) {
      for (JsonNode member : gateway.dump().at("/services/0/members")) {
        if (member.path("id").asText().equals(id)) {
          return member;
        }
      }
      return Json.newObject();
    }

    private List<String> members() {
      return gateway.dump().at("/services/0/members").findValuesAsText("id");
    }
  }
}
