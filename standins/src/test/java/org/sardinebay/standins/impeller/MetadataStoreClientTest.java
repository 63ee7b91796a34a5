package org.sardinebay.standins.impeller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.impeller.MetadataStoreClient;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.http.Route;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.standins.platform.FreePorts;

class MetadataStoreClientTest {
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final int MORE_THAN_A_PAGE = 120;

  private final JsonHttpClient http = JsonHttpClient.start("store-test", 1);
  private LineProtocolPlatform platform;
  private PlatformClient store;

  @BeforeEach
  void startPlatform() throws Exception {
    platform = LineProtocolPlatform.start(FreePorts::next, Clock.system());
    store = new MetadataStoreClient(http, platform.address(), new StoreEra(Clock.system()));
    for (int i = 0; i < MORE_THAN_A_PAGE; i++) {
      ObjectKey key = new ObjectKey("hosts", "host-" + i);
      store.write(key, 0, Json.newObject().put("number", i), TIMEOUT_MILLIS).join();
    }
  }

  @AfterEach
  void stopPlatform() throws Exception {
    platform.close();
    http.stop();
  }

  @Test
  void should_list_all_pages_of_a_kind() {
    assertThat(names(store.watch(List.of("hosts"), 0, 0).join())).hasSize(MORE_THAN_A_PAGE);
  }

  @Test
  void should_list_all_pages_of_a_kind_when_a_stale_listing_is_enough() {
    assertThat(names(store.listStale("hosts").join())).hasSize(MORE_THAN_A_PAGE);
  }

  @Test
  void should_refuse_to_watch_several_kinds() {
    assertThat(store.watch(List.of("hosts", "config"), 1, 0).join())
        .isEqualTo(new PlatformResult.Failed(PlatformFailure.BAD_CALL));
  }

  @Test
  void should_not_report_changes_between_two_pages_as_listed() throws Exception {
    Address address = FreePorts.next();
    JsonHttpServer server =
        JsonHttpServer.start(
            address,
            1,
            List.of(
                Route.get(
                    "/v1/objects/*",
                    request -> page(request.query().containsKey("after") ? 12 : 10))));
    PlatformClient changing = new MetadataStoreClient(http, address, new StoreEra(Clock.system()));

    PlatformResult listing = changing.watch(List.of("hosts"), 0, 0).join();

    assertThat(((PlatformResult.Listing) listing).revision()).isEqualTo(10);
    server.stop();
  }

  private static CompletableFuture<HttpServerResponse> page(long revision) {
    ObjectNode page = Json.newObject().put("storeRevision", revision).put("more", revision == 10);
    ObjectNode item = page.putArray("items").addObject();
    item.putObject("meta").put("name", "host-" + revision).put("revision", revision - 5);
    item.putObject("spec");
    return CompletableFuture.completedFuture(HttpServerResponse.json(HttpServerResponse.OK, page));
  }

  private static List<String> names(PlatformResult result) {
    return ((PlatformResult.Listing) result)
        .objects().stream().map(PlatformObject::key).map(ObjectKey::name).distinct().toList();
  }
}
