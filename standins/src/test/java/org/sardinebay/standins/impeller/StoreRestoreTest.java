package org.sardinebay.standins.impeller;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
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

  @Nested
  class Configuration {
    @Test
    @Tag("known-red")
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
  }
}
