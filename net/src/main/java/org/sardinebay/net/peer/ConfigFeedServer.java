package org.sardinebay.net.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sardinebay.Clock;
import org.sardinebay.internal.process.FeedTiming;
import org.sardinebay.internal.process.StoreFreshness;
import org.sardinebay.internal.process.StoreKnowledge;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.net.peer.generated.ConfigReply;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/**
 * Serves configuration records to other processes by long polling.
 *
 * <pre>{@code
 * ConfigFeedServer feed = new ConfigFeedServer(
 *     store, timer, key -> true, clock, Optional.empty());
 * CompletableFuture<Frame> reply = feed.handle(frame.getConfigCall());
 * }</pre>
 *
 * <p>A call that lists record versions gets the newer records, and stays pending until one of them
 * is urgent or its wait expires. A call with only a digest stays pending while the digest equals
 * that of this store. A different digest gets an immediate reply without records, so that the
 * client lists its versions in the next call. A change of a large record is announced to such a
 * call in the same way: most clients have the record from another source by then, and nothing is
 * sent twice over their link.
 */
public final class ConfigFeedServer {
  /**
   * The maximum total size of the records in a reply; the client gets the others with later calls.
   * A larger record is sent in a reply of its own.
   */
  private static final int MAX_REPLY_BYTES = 1 << 20;

  private static final long MAX_WAIT_MILLIS = 30_000;

  private final ConfigFeedStore store;
  private final ScheduledExecutorService timer;
  private final Predicate<ObjectKey> urgent;
  private final Clock clock;
  private final Optional<StoreKnowledge> knowledge;
  private final RecordEncoder encoder = new RecordEncoder();
  private final Set<PendingCall> pendingCalls = ConcurrentHashMap.newKeySet();

  /**
   * Creates the server side of the feed.
   *
   * @param store the configuration of this process
   * @param timer expires pending calls
   * @param urgent whether a change of a record is sent at once; the others are sent together with
   *     the next urgent one or when the call's wait expires, so that many changes cost one reply
   * @param clock the clock of the knowledge
   * @param knowledge as of when this process knows all changes of the platform's store; empty if
   *     other processes don't rely on it for that
   */
  public ConfigFeedServer(
      ConfigFeedStore store,
      ScheduledExecutorService timer,
      Predicate<ObjectKey> urgent,
      Clock clock,
      Optional<StoreKnowledge> knowledge) {
    this.store = store;
    this.timer = timer;
    this.urgent = urgent;
    this.clock = clock;
    this.knowledge = knowledge;
    // Encoding a large record must not hold up the thread that changed the store.
    store.onChange(() -> timer.execute(() -> pendingCalls.forEach(this::completeIfChanged)));
  }

  /**
   * Handles one call.
   *
   * @param call the client's record versions or digest, and its maximum wait
   * @return a reply with the newer records; without records if there are none when the wait expires
   *     or, immediately, if the digests differ
   */
  public CompletableFuture<Frame> handle(ConfigCall call) {
    boolean digestOnly = call.getAppliedCount() == 0 && call.getDigest() != 0;
    Map<ObjectKey, Long> applied = digestOnly ? store.versions() : FeedCodec.versions(call);
    if (digestOnly && call.getDigest() != store.digest()) {
      return CompletableFuture.completedFuture(frame(ConfigReply.newBuilder()));
    }
    PendingCall pending = new PendingCall(call, applied, digestOnly, clock.millis());
    pendingCalls.add(pending);
    completeIfChanged(pending);
    long waitMillis = waitMillis(call);
    ScheduledFuture<?> expiry =
        timer.schedule(() -> expire(pending), waitMillis, TimeUnit.MILLISECONDS);
    return pending.result.whenComplete((frame, e) -> expiry.cancel(false));
  }

  private long waitMillis(ConfigCall call) {
    return call.getFollowsStore() && storeAnsweredAt().isEmpty()
        ? Math.min(call.getWaitMillis(), FeedTiming.STALE_SOURCE_WAIT_MILLIS)
        : Math.min(call.getWaitMillis(), MAX_WAIT_MILLIS);
  }

  private OptionalLong storeAnsweredAt() {
    return answeredAt(StoreKnowledge::configuration);
  }

  private OptionalLong answeredAt(Function<StoreKnowledge, StoreFreshness> part) {
    return knowledge.map(part).map(StoreFreshness::storeAnsweredAt).orElse(OptionalLong.empty());
  }

  /** When the store answered this process, read before the records that a reply contains. */
  private record AnsweredAt(OptionalLong store, OptionalLong members) {}

  private AnsweredAt answeredAt() {
    return new AnsweredAt(storeAnsweredAt(), answeredAt(StoreKnowledge::members));
  }

  /**
   * Replies to the calls of processes that follow the store through this one. Call it when the
   * store has answered and the answer is stored.
   */
  public void storeAnswered() {
    timer.execute(() -> pendingCalls.forEach(this::completeIfFollowing));
  }

  private void completeIfFollowing(PendingCall pending) {
    if (pending.followsStore) {
      expire(pending);
    }
  }

  private void completeIfChanged(PendingCall pending) {
    AnsweredAt answeredAt = answeredAt();
    List<PlatformObject> changed = store.changedSince(pending.applied);
    if (changed.stream().anyMatch(record -> urgent.test(record.key()))) {
      complete(pending, answeredAt, changed);
    }
  }

  private void expire(PendingCall pending) {
    // Read before the records, which are then at least as recent.
    AnsweredAt answeredAt = answeredAt();
    complete(pending, answeredAt, store.changedSince(pending.applied));
  }

  private void complete(PendingCall pending, AnsweredAt answeredAt, List<PlatformObject> records) {
    pendingCalls.remove(pending);
    boolean announce = pending.digestOnly && records.stream().anyMatch(encoder::large);
    pending.result.complete(
        announce ? frame(ConfigReply.newBuilder()) : reply(pending, answeredAt, records));
  }

  private Frame reply(PendingCall pending, AnsweredAt answeredAt, List<PlatformObject> records) {
    ConfigReply.Builder reply = ConfigReply.newBuilder();
    int bytes = 0;
    for (PlatformObject record : records) {
      ConfigRecord message = encoder.encode(record, pending.acceptsCompressed);
      bytes += message.getSerializedSize();
      if (bytes > MAX_REPLY_BYTES && reply.getRecordsCount() > 0) {
        return frame(reply);
      }
      reply.addRecords(message);
    }
    answeredAt.store().ifPresent(time -> reply.setStoreAnsweredMillis(time - pending.receivedAt));
    answeredAt
        .members()
        .ifPresent(time -> reply.setMembersAnsweredMillis(time - pending.receivedAt));
    return frame(reply.setStale(answeredAt.store().isEmpty() && knowledge.isPresent()));
  }

  private static Frame frame(ConfigReply.Builder reply) {
    return Frame.newBuilder().setConfigReply(reply).build();
  }

  /** A long-polling call without a reply so far. Compared by identity. */
  private static final class PendingCall {
    private final Map<ObjectKey, Long> applied;
    private final boolean digestOnly;
    private final boolean acceptsCompressed;
    private final boolean followsStore;
    private final long receivedAt;
    private final CompletableFuture<Frame> result = new CompletableFuture<>();

    PendingCall(
        ConfigCall call, Map<ObjectKey, Long> applied, boolean digestOnly, long receivedAt) {
      this.applied = applied;
      this.digestOnly = digestOnly;
      this.acceptsCompressed = call.getAcceptsCompressed();
      this.followsStore = call.getFollowsStore();
      this.receivedAt = receivedAt;
    }
  }
}
