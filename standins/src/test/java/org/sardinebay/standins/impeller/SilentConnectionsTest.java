package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.standins.platform.FreePorts;
import org.sardinebay.standins.relay.LinkSettings;
import org.sardinebay.standins.relay.RelayMain;
import org.sardinebay.standins.relay.RelaySettings;

/**
 * Guards against a configuration that is missed because the connection of its watch went silent
 * without being closed.
 */
class SilentConnectionsTest {
  private static final int TIMEOUT_MILLIS = 2_000;

  /** After this time, a host whose connections went silent counts as undisturbed. */
  private static final long UNDISTURBED_AFTER_MILLIS = 4_000;

  private final Clock clock = Clock.system();
  private final JsonHttpClient http = JsonHttpClient.start("silence-test", 1);
  private final Address relayCommands = FreePorts.next();
  private final Address callers = FreePorts.next();
  private LineProtocolPlatform platform;
  private RunningProcess relay;
  private RunningProcess gateway;

  @BeforeEach
  void startBehindRelay() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, clock);
    Address store = FreePorts.next();
    LinkSettings link = new LinkSettings("host-1", "store", store, platform.address(), 0);
    relay = new RelayMain().start(new RelaySettings(relayCommands, List.of(link)));
    gateway = new GatewayFleet(store).start(callers, "host-1", "hall-m-1");
    awaitVersion(3);
  }

  @AfterEach
  void stopAll() throws Exception {
    gateway.shutdown();
    relay.shutdown();
    platform.close();
    http.stop();
  }

  private void awaitVersion(int version) throws Exception {
    GatewayFleet.await(
        () -> gateway.dump().path("configuration").asInt() == version,
        () -> "dump: " + gateway.dump());
  }

  private void silenceOpenConnections() {
    ObjectNode body = Json.newObject();
    body.putArray("sources").add("*");
    body.putArray("targets").add("*");
    HttpCallResult result =
        http.call(HttpMethod.POST, relayCommands, "/silence", Optional.of(body), TIMEOUT_MILLIS)
            .join();
    assertThat(result).isInstanceOf(HttpCallResult.Response.class);
  }

  @Test
  void should_apply_a_configuration_once_the_host_counts_as_undisturbed() throws Exception {
    platform.configure("strict", "aged");
    awaitVersion(6);
    silenceOpenConnections();
    long silentAt = clock.millis();

    platform.configure("strict", "own");
    awaitVersion(9);

    assertThat(clock.millis() - silentAt).isLessThan(UNDISTURBED_AFTER_MILLIS);
  }
}
