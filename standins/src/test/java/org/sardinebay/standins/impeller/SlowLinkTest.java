package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.impeller.MetadataStoreClient;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.platform.HttpPlatformClient;
import org.sardinebay.platform.ObjectVersion;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformResult;

/** Guards against large configurations that never arrive because their transfer is given up. */
class SlowLinkTest {
  private static final int ROUTES = 1_400;
  private static final int PARTS = 12;
  private static final long PART_MILLIS = 250;
  private static final long WATCH_WAIT_MILLIS = 200;
  private static final int REVISION = 41;

  private final JsonHttpClient http = JsonHttpClient.start("slow-link-test", 1);
  private ServerSocket server;
  private PlatformClient store;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    Address address = new Address("127.0.0.1", server.getLocalPort());
    store = new MetadataStoreClient(http, address, new StoreEra(Clock.system()));
  }

  @AfterEach
  void stop() throws IOException {
    http.stop();
    server.close();
  }

  @Test
  void should_receive_a_listing_that_takes_longer_than_its_time_out() throws Exception {
    answerSlowly(Json.newObject(), "items", config());

    assertThat(store.watch(List.of("config"), 0, 0).join())
        .isInstanceOf(PlatformResult.Listing.class);
  }

  @Test
  void should_receive_changes_that_take_longer_than_the_time_out_of_their_watch() throws Exception {
    ObjectNode event = Json.newObject().put("deleted", false);
    event.set("object", config());
    answerSlowly(Json.newObject(), "events", event);

    assertThat(store.watch(List.of("config"), ObjectVersion.of(0, 1), WATCH_WAIT_MILLIS).join())
        .isInstanceOf(PlatformResult.Listing.class);
  }

  @Test
  void should_receive_records_of_the_own_platform_that_take_longer_than_the_time_out()
      throws Exception {
    ObjectNode record =
        Json.newObject().put("kind", "databases").put("name", "a").put("version", REVISION);
    record.set("body", config());
    answerSlowly(Json.newObject().put("revision", REVISION), "objects", record);
    Address address = new Address("127.0.0.1", server.getLocalPort());
    PlatformClient platform = new HttpPlatformClient(http, address, AddressTranslation.none());

    assertThat(platform.watch(List.of("databases"), 0, 0).join())
        .isInstanceOf(PlatformResult.Listing.class);
  }

  private static ObjectNode config() {
    ObjectNode object = Json.newObject();
    object.putObject("meta").put("name", "main").put("revision", REVISION);
    ArrayNode routes = object.putObject("spec").put("version", REVISION).putArray("routes");
    for (int i = 0; i < ROUTES; i++) {
      routes
          .addObject()
          .put("host", "database-" + i)
          .put("kind", "read_your_writes" + "-".repeat(99));
    }
    return object;
  }

  private void answerSlowly(ObjectNode body, String field, ObjectNode entry) {
    body.put("storeRevision", REVISION).putArray(field).add(entry);
    byte[] bytes = Json.bytes(body);
    Thread thread = new Thread(() -> answerOnce(bytes), "slow-store");
    thread.setDaemon(true);
    thread.start();
  }

  private void answerOnce(byte[] body) {
    try (Socket socket = server.accept()) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {}
      OutputStream out = socket.getOutputStream();
      String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.UTF_8));
      int partBytes = body.length / PARTS + 1;
      for (int from = 0; from < body.length; from += partBytes) {
        out.write(body, from, Math.min(partBytes, body.length - from));
        Thread.sleep(PART_MILLIS);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
