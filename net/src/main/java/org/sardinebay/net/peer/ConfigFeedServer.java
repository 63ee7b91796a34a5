package org.sardinebay.net.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.net.peer.generated.ConfigReply;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/**
 * Answers other processes' calls for configuration.
 *
 * <pre>{@code
 * ConfigFeedServer feed = new ConfigFeedServer(store, timer);
 * CompletableFuture<Frame> answer = feed.handle(frame.getConfigCall());
 * }</pre>
 *
 * <p>A call that names versions is answered with the newer records, or held until there are some. A
 * call with a digest only is held while the digest is this store's own; any other digest is
 * answered at once without records, so that the asker names its versions next.
 */
public final class ConfigFeedServer {
  private static final int MAX_REPLY_BYTES = 1 << 20;
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final FeedStore store;
  private final ScheduledExecutorService timer;
  private final Set<Waiter> waiters = ConcurrentHashMap.newKeySet();

  /**
   * Creates the server's side of the feed.
   *
   * @param store the configuration of this process
   * @param timer ends the calls that are held
   */
  public ConfigFeedServer(FeedStore store, ScheduledExecutorService timer) {
    this.store = store;
    this.timer = timer;
    store.onChange(() -> waiters.forEach(this::answerIfChanged));
  }

  /**
   * Answers one call.
   *
   * @param call what the asker has
   * @return the newer records, or none once the wait is over
   */
  public CompletableFuture<Frame> handle(ConfigCall call) {
    boolean digestOnly = call.getAppliedCount() == 0 && call.getDigest() != 0;
    Map<ObjectKey, Long> applied = digestOnly ? store.versions() : FeedCodec.versions(call);
    if (digestOnly && call.getDigest() != store.digest()) {
      return CompletableFuture.completedFuture(reply(List.of()));
    }
    Waiter waiter = new Waiter(applied, new CompletableFuture<>());
    waiters.add(waiter);
    answerIfChanged(waiter);
    long waitMillis = Math.min(call.getWaitMillis(), MAX_WAIT_MILLIS);
    ScheduledFuture<?> expiry =
        timer.schedule(() -> answer(waiter, List.of()), waitMillis, TimeUnit.MILLISECONDS);
    return waiter.result.whenComplete((frame, e) -> expiry.cancel(false));
  }

  private void answerIfChanged(Waiter waiter) {
    List<PlatformObject> changed = store.changedSince(waiter.applied);
    if (!changed.isEmpty()) {
      answer(waiter, changed);
    }
  }

  private void answer(Waiter waiter, List<PlatformObject> records) {
    waiters.remove(waiter);
    waiter.result.complete(reply(records));
  }

  private static Frame reply(List<PlatformObject> records) {
    ConfigReply.Builder reply = ConfigReply.newBuilder();
    int bytes = 0;
    for (PlatformObject record : records) {
      ConfigRecord message = FeedCodec.message(record);
      bytes += message.getSerializedSize();
      if (bytes > MAX_REPLY_BYTES && reply.getRecordsCount() > 0) {
        break;
      }
      reply.addRecords(message);
    }
    return Frame.newBuilder().setConfigReply(reply).build();
  }

  /** A call that is held. Compared by identity. */
  private static final class Waiter {
    private final Map<ObjectKey, Long> applied;
    private final CompletableFuture<Frame> result;

    Waiter(Map<ObjectKey, Long> applied, CompletableFuture<Frame> result) {
      this.applied = applied;
      this.result = result;
    }
  }
}
