package org.sardinebay.gateway.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.version.ObjectWatch;
import org.sardinebay.gateway.internal.version.StoreFeeds;
import org.sardinebay.internal.process.DomainDistances;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.internal.version.QuotaRule;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/** Guards against writes to the store by each start of a host that is registered already. */
class HostRegistrationTest {
  private static final HostId HOST = new HostId("host-1");
  private static final long VERSION = 5;

  private final Eventloop loop = Eventloop.builder().withThreadName("registration").build();
  private final RecordedStore store = new RecordedStore();

  private static ObjectNode entry(String peers) {
    return Json.newObject().put("peers", peers).put("failureDomain", "hall-1");
  }

  private List<Long> writesAfterListing(ObjectNode... entries) {
    for (ObjectNode entry : entries) {
      ObjectKey key = new ObjectKey(StoreFeeds.HOSTS, HOST.value());
      store.listed.add(new PlatformObject(key, VERSION, false, entry));
    }
    Address any = new Address("127.0.0.1", 1);
    GatewaySettings settings =
        new GatewaySettings(
            HOST,
            new FailureDomain("hall-1"),
            new DomainDistances(Map.of()),
            any,
            any,
            new Address("127.0.0.1", 7),
            List.of(),
            any,
            any,
            any,
            0,
            0,
            QuotaRule.DEFAULT);
    StoreEra era = new StoreEra(Clock.system());
    new HostRegistration(settings, store, era, new IgnoringListener(), loop).start();
    // Ends when the listing has been handled: a delayed task doesn't keep the loop running here.
    loop.delay(1, loop::breakEventloop);
    loop.run();
    return store.expectedVersions;
  }

  @Test
  void should_write_nothing_if_it_is_listed_as_it_is() {
    assertThat(writesAfterListing(entry("127.0.0.1:7"))).isEmpty();
  }

  @Test
  void should_replace_an_entry_with_another_address() {
    assertThat(writesAfterListing(entry("127.0.0.1:8"))).containsExactly(VERSION);
  }

  @Test
  void should_create_an_entry_if_it_is_not_listed() {
    assertThat(writesAfterListing()).containsExactly(0L);
  }

  private static final class IgnoringListener implements ObjectWatch.Listener {
    @Override
    public void onListing(long revision, List<PlatformObject> objects) {}

    @Override
    public void onChanges(List<PlatformObject> objects) {}
  }

  private static final class RecordedStore implements PlatformClient {
    private final List<PlatformObject> listed = new ArrayList<>();
    private final List<Long> expectedVersions = new ArrayList<>();

    @Override
    public CompletableFuture<PlatformResult> read(ObjectKey key, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PlatformResult> write(
        ObjectKey key, long expectedVersion, ObjectNode body, long timeoutMillis) {
      expectedVersions.add(expectedVersion);
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<PlatformResult> delete(
        ObjectKey key, long expectedVersion, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PlatformResult> watch(
        List<String> kinds, long afterRevision, long waitMillis) {
      return listStale(kinds.get(0));
    }

    @Override
    public CompletableFuture<PlatformResult> listStale(String kind) {
      return CompletableFuture.completedFuture(new PlatformResult.Listing(VERSION, listed));
    }

    @Override
    public CompletableFuture<PlatformResult> hosts(long timeoutMillis) {
      throw new UnsupportedOperationException();
    }
  }
}
