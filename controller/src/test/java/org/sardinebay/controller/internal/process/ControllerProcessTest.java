package org.sardinebay.controller.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.ConfigFeedServer;
import org.sardinebay.net.peer.ConfigStoreAdapter;
import org.sardinebay.net.peer.PeerServer;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.record.FieldReader;

class ControllerProcessTest {
  private static final long TIMEOUT_MILLIS = 20_000;

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  @Nested
  class WithoutThePlatform {
    @Test
    void should_take_its_configuration_from_peers_and_watch_the_databases() throws Exception {
      ConfigStoreAdapter storeAdapter = new ConfigStoreAdapter(new ConfigStore());
      storeAdapter.merge(
          new PlatformObject(new ObjectKey("databases", "db"), 5, false, database()));
      ConfigFeedServer server =
          new ConfigFeedServer(storeAdapter, timer, key -> true, Clock.system(), Optional.empty());
      Address peer = FreePorts.next();
      PeerServer peers = PeerServer.start(peer, call -> server.handle(call.getConfigCall()));

      RunningProcess controller = new ControllerProgram().start(settings(peer));

      await(controller, dump -> !dump.path("databases").isEmpty());
      JsonNode dump = controller.dump();
      assertThat(controller.ready()).isTrue();
      assertThat(dump.path("generations").path("databases/db").asLong()).isEqualTo(5);
      assertThat(dump.path("platform").path("listed").asBoolean()).isFalse();
      assertThat(dump.path("databases").get(0).path("decision").asText()).isEqualTo("NONE");
      controller.shutdown();
      peers.stop();
    }

    @Test
    void should_report_that_the_platform_does_not_answer() throws Exception {
      RunningProcess controller = new ControllerProgram().start(settings(FreePorts.next()));

      await(controller, dump -> !dump.path("platform").path("answering").asBoolean(true));

      assertThat(controller.ready()).isFalse();
      controller.shutdown();
    }
  }

  @Nested
  class Settings {
    @Test
    void should_report_a_problem_for_each_missing_field() {
      FieldReader reader = FieldReader.of(Json.newObject().put("host", "waco-1"));

      new ControllerProgram().settings(reader);

      assertThat(reader.problems())
          .extracting("field")
          .containsExactlyInAnyOrder("failureDomain", "peerListen", "listen", "platform");
    }
  }

  private static void await(RunningProcess controller, Predicate<JsonNode> condition)
      throws InterruptedException {
    long deadline = Clock.system().millis() + TIMEOUT_MILLIS;
    while (!condition.test(controller.dump())) {
      assertThat(Clock.system().millis()).as("deadline").isLessThan(deadline);
      Thread.sleep(20);
    }
  }

  private static ControllerSettings settings(Address peer) throws IOException {
    ObjectNode tree = Json.newObject().put("host", "waco-1").put("failureDomain", "waco-hall");
    for (String field : List.of("listen", "peerListen", "platform")) {
      tree.put(field, FreePorts.next().toString());
    }
    tree.putArray("peers").add(peer.toString());
    return new ControllerProgram().settings(FieldReader.of(tree));
  }

  private static ObjectNode database() throws IOException {
    ObjectNode body = Json.newObject().put("schemaVersion", 1).put("service", "contracts-db");
    body.put("connectionLimit", 20).put("slots", 3).put("acknowledgement", "majority");
    body.putArray("members")
        .addObject()
        .put("id", "a")
        .put("address", FreePorts.next().toString())
        .put("failureDomain", "waco-hall");
    return body;
  }
}
