package org.sardinebay.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.internal.process.FeedTiming;
import org.sardinebay.internal.process.StoreFreshness;
import org.sardinebay.internal.process.StoreKnowledge;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigReply;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

class ConfigFeedTest {
  private static final long LONG_MILLIS = 10_000;
  private static final long SHORT_MILLIS = 200;
  private static final long FETCH_DELAY_MILLIS = 1_000;
  private static final String SLOW_KIND = "hosts";
  private static final int LARGE_BYTES = 64 << 10;

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final InMemoryConfigFeedStore source = new InMemoryConfigFeedStore();
  private final StoreFreshness freshness = new StoreFreshness(Clock.system());
  private final StoreFreshness membersFreshness = StoreFreshness.unknown(Clock.system(), 10_000);
  private final ConfigFeedServer server =
      new ConfigFeedServer(
          source,
          timer,
          key -> !key.kind().equals(SLOW_KIND),
          Clock.system(),
          Optional.of(new StoreKnowledge(freshness, membersFreshness)));

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  @Nested
  class Server {
    @Test
    void should_reply_with_newer_records_only() {
      source.merge(record("old", 3));
      source.merge(record("new", 4));
      InMemoryConfigFeedStore requester = new InMemoryConfigFeedStore();
      requester.merge(record("old", 3));

      CompletableFuture<Frame> reply = server.handle(callWithVersions(requester));

      assertThat(reply.join().getConfigReply().getRecordsList())
          .extracting("name")
          .containsExactly("new");
    }

    @Test
    void should_keep_a_call_with_the_same_digest_pending_until_a_record_changes() {
      source.merge(record("a", 1));
      CompletableFuture<Frame> reply = server.handle(digestOnly(source.digest()));
      assertThat(reply).isNotDone();

      source.merge(record("b", 2));

      assertThat(reply.join().getConfigReply().getRecordsList())
          .extracting("name")
          .containsExactly("b");
    }

    @Test
    void should_send_a_change_that_is_not_urgent_together_with_the_next_urgent_one() {
      source.merge(record("a", 1));
      CompletableFuture<Frame> reply = server.handle(digestOnly(source.digest()));

      source.merge(slowRecord("host-1", 2));
      assertThat(reply).isNotDone();
      source.merge(record("b", 3));

      assertThat(reply.join().getConfigReply().getRecordsList())
          .extracting("name")
          .containsExactlyInAnyOrder("host-1", "b");
    }

    @Test
    void should_send_a_change_that_is_not_urgent_when_the_wait_expires() {
      source.merge(record("a", 1));
      ConfigCall call = digestOnly(source.digest()).toBuilder().setWaitMillis(SHORT_MILLIS).build();
      CompletableFuture<Frame> reply = server.handle(call);

      source.merge(slowRecord("host-1", 2));

      assertThat(reply.join().getConfigReply().getRecordsList())
          .extracting("name")
          .containsExactly("host-1");
    }

    @Test
    void should_reply_without_records_immediately_if_the_digest_differs() {
      source.merge(record("a", 1));

      CompletableFuture<Frame> reply = server.handle(digestOnly(source.digest() + 1));

      assertThat(reply).isDone();
      assertThat(reply.join().getConfigReply().getRecordsList()).isEmpty();
    }
  }

  @Nested
  class CallsThatFollowTheStore {
    @Test
    void should_be_answered_with_its_time_when_the_store_has_answered() {
      source.merge(record("a", 1));
      freshness.onStoreAnswer();
      CompletableFuture<Frame> reply = server.handle(following(digestOnly(source.digest())));
      assertThat(reply).isNotDone();

      freshness.onStoreAnswer();
      server.storeAnswered();

      assertThat(reply.join().getConfigReply().hasStoreAnsweredMillis()).isTrue();
    }

    @Test
    void should_soon_be_sent_elsewhere_by_a_source_that_the_store_does_not_answer() {
      source.merge(record("a", 1));

      CompletableFuture<Frame> reply = server.handle(following(digestOnly(source.digest())));

      assertThat(reply.orTimeout(LONG_MILLIS / 2, TimeUnit.MILLISECONDS).join().getConfigReply())
          .returns(true, ConfigReply::getStale)
          .returns(false, ConfigReply::hasStoreAnsweredMillis);
    }

    @Test
    void should_get_no_time_while_records_are_only_announced() {
      source.merge(record("a", 1));
      freshness.onStoreAnswer();
      CompletableFuture<Frame> reply = server.handle(following(digestOnly(source.digest())));

      source.merge(largeRecord());

      assertThat(reply.join().getConfigReply())
          .returns(0, ConfigReply::getRecordsCount)
          .returns(false, ConfigReply::getStale)
          .returns(false, ConfigReply::hasStoreAnsweredMillis);
    }

    private static ConfigCall following(ConfigCall call) {
      return call.toBuilder().setFollowsStore(true).build();
    }
  }

  @Nested
  class Client {
    private final PeerClient peers =
        PeerClient.start(AddressTranslation.none(), Clock.system(), new SimpleMeterRegistry());
    private final Address live = FreePorts.next();
    private final Address silent = FreePorts.next();
    private final List<ConfigCall> calls = new CopyOnWriteArrayList<>();
    private final InMemoryConfigFeedStore store = new InMemoryConfigFeedStore();
    private PeerServer transport;
    private ConfigFeedClient client;

    private void start(List<Address> preferred, List<Address> fallbacks, long fetchDelayMillis)
        throws Exception {
      source.merge(record("a", 1));
      transport =
          PeerServer.start(
              live,
              call -> {
                calls.add(call.getConfigCall());
                return server.handle(call.getConfigCall());
              });
      client =
          new ConfigFeedClient(
              "waco-1",
              peers,
              store,
              new ConfigFeedClient.Sources(() -> preferred, () -> fallbacks, fetchDelayMillis),
              Clock.system(),
              timer,
              Optional.empty());
      client.start();
    }

    @AfterEach
    void stop() {
      client.stop();
      peers.stop();
      transport.stop();
    }

    private void awaitCallThatWaits() throws Exception {
      PeerTransportTest.await(
          () -> calls.stream().anyMatch(c -> c.getAppliedCount() == 0 && c.getDigest() != 0));
    }

    private void awaitAllRecords() throws Exception {
      PeerTransportTest.await(() -> store.versions().equals(source.versions()));
    }

    @Test
    void should_not_fetch_what_another_feed_brought_before_the_delay_was_over() throws Exception {
      start(List.of(live), List.of(), FETCH_DELAY_MILLIS);
      awaitCallThatWaits();
      int callsBefore = calls.size();

      source.merge(largeRecord());
      store.merge(largeRecord());

      PeerTransportTest.await(() -> calls.size() > callsBefore);
      assertThat(calls.get(callsBefore).getAppliedCount()).isZero();
    }

    @Test
    void should_fetch_a_large_record_from_the_source_that_announces_it_late() throws Exception {
      try (ServerSocket unused =
          new ServerSocket(silent.port(), 1, InetAddress.getByName(silent.host()))) {
        start(List.of(live, silent), List.of(), 0);
        awaitCallThatWaits();
        Thread.sleep(FeedTiming.WAIT_MILLIS * 2 / 3);

        source.merge(largeRecord());

        long announcedAt = Clock.system().millis();
        awaitAllRecords();
        assertThat(Clock.system().millis() - announcedAt).isLessThan(FeedTiming.WAIT_MILLIS);
      }
    }

    @Test
    void should_fetch_records_from_a_fallback_when_no_preferred_source_replies() throws Exception {
      start(List.of(silent), List.of(live), 0);

      awaitAllRecords();
      source.merge(record("a", 2));
      awaitAllRecords();
    }
  }

  private static PlatformObject largeRecord() {
    return new PlatformObject(
        new ObjectKey("databases", "large"),
        1,
        false,
        Json.newObject().put("text", "-".repeat(LARGE_BYTES)));
  }

  private static PlatformObject record(String name, long version) {
    return record(new ObjectKey("databases", name), version);
  }

  private static PlatformObject slowRecord(String name, long version) {
    return record(new ObjectKey(SLOW_KIND, name), version);
  }

  private static PlatformObject record(ObjectKey key, long version) {
    return new PlatformObject(key, version, false, Json.newObject().put("n", version));
  }

  private static ConfigCall callWithVersions(ConfigFeedStore requester) {
    return ConfigCall.newBuilder()
        .setDigest(requester.digest())
        .addAllApplied(FeedCodec.toMessages(requester.versions()))
        .setWaitMillis(LONG_MILLIS)
        .build();
  }

  private static ConfigCall digestOnly(long digest) {
    return ConfigCall.newBuilder().setDigest(digest).setWaitMillis(LONG_MILLIS).build();
  }
}
