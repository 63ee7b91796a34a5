package org.sardinebay.gateway.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.Clock;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

class ObjectWatchTest {
  private static final int TIMEOUT_SECONDS = 10;
  private static final long WAIT_MILLIS = 1_000;

  private final Eventloop loop = Eventloop.builder().withThreadName("watch-test").build();
  private final RecordedStore store = new RecordedStore();
  private final FailingOnceListener listener = new FailingOnceListener();

  @BeforeEach
  void startLoop() {
    loop.keepAlive(true);
    Thread thread = new Thread(loop, "watch-test");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stopLoop() {
    loop.breakEventloop();
  }

  @Test
  void should_list_again_after_its_listener_failed() {
    ObjectWatch.Timing timing = timing(() -> true, Long.MAX_VALUE);
    ObjectWatch watch = new ObjectWatch(store, "config", timing, listener, loop, Clock.system());

    loop.execute(watch::start);

    assertThat(listener.applied.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        .succeedsWithin(Duration.ofSeconds(TIMEOUT_SECONDS));
    assertThat(store.revisions).startsWith(0L, 0L);
  }

  @Test
  void should_not_list_in_a_tight_loop_while_no_history_is_kept() throws Exception {
    store.watchResult =
        CompletableFuture.completedFuture(new PlatformResult.Failed(PlatformFailure.HISTORY_GONE));
    ObjectWatch.Timing timing = timing(() -> true, Long.MAX_VALUE);
    ObjectWatch watch =
        new ObjectWatch(store, "config", timing, new QuietListener(), loop, Clock.system());

    long startedAt = Clock.system().millis();
    loop.execute(watch::start);
    Thread.sleep(1_000);
    int listings = Collections.frequency(store.revisions, 0L);
    long elapsed = Clock.system().millis() - startedAt;

    assertThat(listings).isBetween(2, 1 + (int) (elapsed / ObjectWatch.RETRY_MILLIS));
  }

  @Test
  void should_rest_while_other_hosts_confirm_that_nothing_changed() throws Exception {
    AtomicBoolean needed = new AtomicBoolean();
    ObjectWatch watch = watch(timing(needed::get, Long.MAX_VALUE));
    loop.execute(watch::start);
    Thread.sleep(200);
    loop.submit(watch::checkNow).get();
    assertThat(store.revisions).containsExactly(0L);

    needed.set(true);
    loop.submit(watch::checkNow).get();

    assertThat(store.revisions).containsExactly(0L, 7L);
  }

  @Test
  void should_list_rather_than_watch_from_a_revision_that_is_too_old() throws Exception {
    AtomicBoolean needed = new AtomicBoolean();
    ObjectWatch watch = watch(timing(needed::get, 100));
    loop.execute(watch::start);
    Thread.sleep(200);

    needed.set(true);
    loop.submit(watch::checkNow).get();

    assertThat(store.revisions).startsWith(0L, 0L);
  }

  @Test
  void should_list_after_changes_of_which_most_were_out_of_date() throws Exception {
    ObjectKey key = new ObjectKey("config", "main");
    store.watchResult =
        CompletableFuture.completedFuture(
            new PlatformResult.Listing(
                9,
                List.of(
                    new PlatformObject(key, 8, false, Json.newObject()),
                    new PlatformObject(key, 9, false, Json.newObject()))));
    ObjectWatch watch = watch(timing(() -> true, Long.MAX_VALUE));

    loop.submit(watch::start).get();
    Thread.sleep(200);

    assertThat(store.revisions).startsWith(0L, 7L, 0L);
  }

  @Test
  void should_not_wait_in_the_first_call_after_a_failure() throws Exception {
    store.watchResult =
        CompletableFuture.completedFuture(new PlatformResult.Failed(PlatformFailure.NO_ANSWER));
    ObjectWatch watch = watch(timing(() -> true, Long.MAX_VALUE));

    loop.submit(watch::start).get();
    Thread.sleep(2 * ObjectWatch.RETRY_MILLIS);

    assertThat(store.waits).startsWith(WAIT_MILLIS, WAIT_MILLIS, 0L);
  }

  private ObjectWatch watch(ObjectWatch.Timing timing) {
    return new ObjectWatch(store, "config", timing, new QuietListener(), loop, Clock.system());
  }

  private static ObjectWatch.Timing timing(BooleanSupplier needed, long maxRevisionAgeMillis) {
    return new ObjectWatch.Timing(() -> 1_000, () -> 0, () -> 1_000, needed, maxRevisionAgeMillis);
  }

  private static final class QuietListener implements ObjectWatch.Listener {
    @Override
    public void onListing(long revision, List<PlatformObject> objects) {}

    @Override
    public void onChanges(List<PlatformObject> objects) {}
  }

  private static final class FailingOnceListener implements ObjectWatch.Listener {
    private final CompletableFuture<Void> applied = new CompletableFuture<>();
    private boolean failed;

    @Override
    public void onListing(long revision, List<PlatformObject> objects) {
      if (!failed) {
        failed = true;
        throw new IllegalStateException("a record that can't be applied");
      }
      applied.complete(null);
    }

    @Override
    public void onChanges(List<PlatformObject> objects) {}
  }

  /** Answers listings, and leaves watches unanswered unless they have a result. */
  private static final class RecordedStore implements PlatformClient {
    private final List<Long> revisions = new CopyOnWriteArrayList<>();
    private final List<Long> waits = new CopyOnWriteArrayList<>();
    private volatile CompletableFuture<PlatformResult> watchResult = new CompletableFuture<>();

    @Override
    public CompletableFuture<PlatformResult> watch(
        List<String> kinds, long afterRevision, long waitMillis) {
      revisions.add(afterRevision);
      waits.add(waitMillis);
      return afterRevision == 0
          ? CompletableFuture.completedFuture(new PlatformResult.Listing(7, List.of()))
          : watchResult;
    }

    @Override
    public CompletableFuture<PlatformResult> read(ObjectKey key, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PlatformResult> write(
        ObjectKey key, long expectedVersion, ObjectNode body, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PlatformResult> delete(
        ObjectKey key, long expectedVersion, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PlatformResult> listStale(String kind) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<PlatformResult> hosts(long timeoutMillis) {
      throw new UnsupportedOperationException();
    }
  }
}
