package org.sardinebay.gateway.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.ConfigStoreAdapter;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.session.RegisteredHost;

/** Guards against hosts that stay after they were deleted, and against a change for each object. */
class StoreFeedsTest {
  private final ConfigStore records = new ConfigStore();
  private final ConfigStoreAdapter adapter = new ConfigStoreAdapter(records);
  private final AtomicInteger changes = new AtomicInteger();
  private StoreFeeds feeds;

  @BeforeEach
  void create() {
    Services services =
        new Services(
            spec -> {
              throw new IllegalStateException("no service is configured");
            },
            () -> 0,
            table -> true);
    feeds = new StoreFeeds(records, adapter, services, () -> 0);
    adapter.onChange(changes::incrementAndGet);
  }

  private static PlatformObject host(String name, long version, boolean deleted) {
    return new PlatformObject(
        new ObjectKey(StoreFeeds.HOSTS, name),
        version,
        deleted,
        Json.newObject().put("peers", "10.0.0.1:7440").put("failureDomain", "waco-hall"));
  }

  private List<String> hostsAfter(PlatformObject... page) {
    feeds.listener(StoreFeeds.HOSTS).onChanges(List.of(page));
    feeds.refresh();
    return feeds.hosts().stream().map(RegisteredHost::id).map(Object::toString).toList();
  }

  /** Guards against a time of the last list that is newer than the members that are applied. */
  @Test
  void should_apply_a_scheduled_refresh_in_the_next_tick() {
    feeds.listener(StoreFeeds.HOSTS).onChanges(List.of(host("host-1", 1, false)));
    feeds.refreshSoon(task -> {});
    feeds.tick(0);

    assertThat(feeds.hosts()).hasSize(1);
  }

  @Nested
  class PageOfChanges {
    @Test
    void should_be_merged_as_one_change() {
      PlatformObject[] page =
          IntStream.range(0, 80)
              .mapToObj(i -> host("host-" + i, i + 1, false))
              .toArray(PlatformObject[]::new);

      assertThat(hostsAfter(page)).hasSize(80);
      assertThat(changes).hasValue(1);
    }

    @Test
    void should_delete_a_host_that_it_creates_before() {
      assertThat(hostsAfter(host("host-1", 5, false), host("host-1", 6, true))).isEmpty();
    }

    @Test
    void should_keep_a_host_that_it_creates_again() {
      assertThat(
              hostsAfter(
                  host("host-1", 5, false), host("host-1", 6, true), host("host-1", 7, false)))
          .hasSize(1);
    }

    @Test
    void should_keep_a_host_that_is_created_after_a_deletion_that_arrived_twice() {
      adapter.mergeAll(List.of(host("host-1", 5, false)));
      adapter.mergeAll(List.of(host("host-1", 6, true)));

      assertThat(hostsAfter(host("host-1", 6, true), host("host-1", 7, false))).hasSize(1);
    }
  }
}
