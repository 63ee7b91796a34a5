package org.sardinebay.net.peer;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.internal.process.ConfigSourceSelector;
import org.sardinebay.internal.process.FeedTiming;
import org.sardinebay.internal.process.StoreKnowledge;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.net.peer.generated.ConfigReply;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.platform.ObjectVersion;
import org.sardinebay.platform.PlatformObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a process's configuration up to date by long polling other processes.
 *
 * <pre>{@code
 * ConfigFeedClient feed = new ConfigFeedClient(
 *     "waco-1",
 *     peers,
 *     store,
 *     new Sources(() -> controllers, () -> proxies, 0),
 *     clock,
 *     timer,
 *     Optional.empty());
 * feed.start();
 * }</pre>
 *
 * <p>At most one call is in progress.
 */
public final class ConfigFeedClient {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigFeedClient.class);

  private final String process;
  private final PeerClient peers;
  private final ConfigFeedStore store;
  private final Sources sources;
  private final Clock clock;
  private final ScheduledExecutorService timer;
  private final Optional<StoreKnowledge> knowledge;
  private final ConfigSourceSelector sourceSelector = new ConfigSourceSelector();
  private final Object lock = new Object();
  private boolean sendVersions = true;
  private long announcedDigest;
  private boolean replied;
  private volatile Runnable onReply = () -> {};
  private boolean running;

  /**
   * The processes that a feed polls.
   *
   * @param preferred the processes to poll
   * @param fallbacks the processes to poll while no preferred process replies
   * @param fetchDelayMillis delay before what a process announces is fetched from it, in
   *     milliseconds, so that a feed with nearer sources can bring it first
   */
  public record Sources(
      Supplier<List<Address>> preferred,
      Supplier<List<Address>> fallbacks,
      long fetchDelayMillis) {}

  /**
   * Creates the client side of the feed.
   *
   * @param process the name of this process
   * @param peers the RPC client
   * @param store the configuration of this process
   * @param sources the processes to poll
   * @param clock the clock
   * @param timer schedules the calls
   * @param knowledge told how recent the sources' knowledge of the platform's store is; empty if
   *     this process doesn't rely on them for that
   */
  public ConfigFeedClient(
      String process,
      PeerClient peers,
      ConfigFeedStore store,
      Sources sources,
      Clock clock,
      ScheduledExecutorService timer,
      Optional<StoreKnowledge> knowledge) {
    this.process = process;
    this.peers = peers;
    this.store = store;
    this.sources = sources;
    this.clock = clock;
    this.timer = timer;
    this.knowledge = knowledge;
  }

  /**
   * Sets the task that runs after each reply, once its records are merged.
   *
   * @param task the task
   */
  public void onReply(Runnable task) {
    onReply = task;
  }

  /** Starts polling. */
  public void start() {
    synchronized (lock) {
      running = true;
    }
    poll();
  }

  /** Stops polling. The call in progress is not canceled. */
  public void stop() {
    synchronized (lock) {
      running = false;
    }
  }

  private void poll() {
    try {
      callNextSource();
    } catch (RuntimeException e) {
      handleException(e);
    }
  }

  private void callNextSource() {
    Optional<Address> source;
    ConfigCall call;
    synchronized (lock) {
      if (!running) {
        return;
      }
      source = sourceSelector.next(sources.preferred().get(), sources.fallbacks().get());
      call = call();
    }
    if (source.isEmpty()) {
      schedulePoll(FeedTiming.WAIT_MILLIS);
      return;
    }
    long sentAt = clock.millis();
    Frame frame = Frame.newBuilder().setConfigCall(call).build();
    CompletableFuture<Void> unused =
        peers
            .call(source.get(), frame, FeedTiming.REPLY_TIMEOUT_MILLIS)
            .thenAccept(result -> handleResult(result, source.get(), call, sentAt))
            .exceptionally(
                e -> {
                  handleException(e);
                  return null;
                });
  }

  /** An exception in one call or its reply must not end the polling. */
  private void handleException(Throwable e) {
    LOG.atError().setMessage("config_poll_failed").setCause(e).log();
    schedulePoll(recordFailure());
  }

  private ConfigCall call() {
    long digest = store.digest();
    // Another feed may have brought what the source announced.
    boolean brought = announcedDigest != 0 && announcedDigest != digest;
    announcedDigest = 0;
    ConfigCall.Builder call =
        ConfigCall.newBuilder()
            .setProcess(process)
            .setDigest(digest)
            .setAcceptsCompressed(true)
            .setFollowsStore(knowledge.isPresent())
            // The first reply comes at once, since the process may wait for it before it serves.
            .setWaitMillis(replied ? FeedTiming.WAIT_MILLIS : 0);
    if (sendVersions && !brought) {
      call.addAllApplied(FeedCodec.toMessages(store.versions()));
    }
    return call.build();
  }

  private void handleResult(PeerResult result, Address source, ConfigCall call, long sentAt) {
    long elapsedMillis = clock.millis() - sentAt;
    if (result instanceof PeerResult.Reply reply && reply.frame().hasConfigReply()) {
      ConfigReply body = reply.frame().getConfigReply();
      for (PlatformObject applied : merge(body.getRecordsList())) {
        LOG.atInfo()
            .setMessage("config_applied")
            .addKeyValue("record", applied.key())
            .addKeyValue("generation", ObjectVersion.text(applied.version()))
            .addKeyValue("source", source)
            .addKeyValue("bytes", reply.frame().getSerializedSize())
            .addKeyValue("after_millis", elapsedMillis)
            .log();
      }
      if (body.hasStoreAnsweredMillis()) {
        knowledge.ifPresent(
            k -> k.configuration().onSourceReply(sentAt + body.getStoreAnsweredMillis()));
      }
      if (body.hasMembersAnsweredMillis()) {
        knowledge.ifPresent(
            k -> k.members().onSourceReply(sentAt + body.getMembersAnsweredMillis()));
      }
      synchronized (lock) {
        replied = true;
      }
      onReply.run();
      schedulePoll(recordReply(call, body, elapsedMillis));
    } else {
      LOG.atInfo()
          .setMessage("config_source_failed")
          .addKeyValue("source", source)
          .addKeyValue("result", result)
          .addKeyValue("after_millis", elapsedMillis)
          .log();
      schedulePoll(recordFailure());
    }
  }

  private long recordReply(ConfigCall call, ConfigReply reply, long elapsedMillis) {
    synchronized (lock) {
      boolean empty = reply.getRecordsCount() == 0;
      boolean complete = reply.getStale() || reply.hasStoreAnsweredMillis();
      // A call without versions that is answered without records before its wait is over: the
      // digests differ, or the source announces a large record.
      boolean digestDiffers =
          empty
              && !complete
              && call.getAppliedCount() == 0
              && elapsedMillis < FeedTiming.WAIT_MILLIS;
      sendVersions = digestDiffers;
      announcedDigest = digestDiffers ? call.getDigest() : 0;
      if (empty && !digestDiffers) {
        sourceSelector.recordUnchanged();
      } else {
        sourceSelector.recordChanged();
      }
      long pauseMillis = sourceSelector.pauseMillis();
      return digestDiffers ? Math.max(pauseMillis, sources.fetchDelayMillis()) : pauseMillis;
    }
  }

  private long recordFailure() {
    synchronized (lock) {
      sendVersions = true;
      sourceSelector.recordFailure();
      return sourceSelector.pauseMillis();
    }
  }

  /** Stores a reply as one change, so that listeners never see a partial configuration. */
  private List<PlatformObject> merge(List<ConfigRecord> messages) {
    return store.mergeAll(
        messages.stream().map(ConfigFeedClient::read).flatMap(Optional::stream).toList());
  }

  private static Optional<PlatformObject> read(ConfigRecord message) {
    Optional<PlatformObject> record = FeedCodec.toObject(message);
    if (record.isEmpty()) {
      LOG.atWarn()
          .setMessage("config_record_unreadable")
          .addKeyValue("kind", message.getKind())
          .addKeyValue("name", message.getName())
          .log();
    }
    return record;
  }

  private void schedulePoll(long delayMillis) {
    ScheduledFuture<?> unused = timer.schedule(this::poll, delayMillis, TimeUnit.MILLISECONDS);
  }
}
