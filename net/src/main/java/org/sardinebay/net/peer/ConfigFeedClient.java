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
import org.sardinebay.internal.process.SourceRotation;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.platform.PlatformObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a process's configuration up to date from other processes.
 *
 * <pre>{@code
 * ConfigFeedClient feed = new ConfigFeedClient(
 *     "waco-1", peers, store, () -> controllers, () -> proxies, clock, timer);
 * feed.start();
 * }</pre>
 *
 * <p>One call is in progress at a time.
 */
public final class ConfigFeedClient {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigFeedClient.class);
  private static final long WAIT_MILLIS = 3_000;
  private static final long REPLY_TIMEOUT_MILLIS = WAIT_MILLIS + 1_000;

  private final String process;
  private final PeerClient peers;
  private final FeedStore store;
  private final Supplier<List<Address>> preferred;
  private final Supplier<List<Address>> fallbacks;
  private final Clock clock;
  private final ScheduledExecutorService timer;
  private final SourceRotation rotation = new SourceRotation();
  private final Object lock = new Object();
  private boolean nameVersions = true;
  private boolean running;

  /**
   * Creates the asker's side of the feed.
   *
   * @param process the name of this process
   * @param peers sends the calls
   * @param store the configuration of this process
   * @param preferred the processes to ask
   * @param fallbacks the processes to ask while none of the preferred ones answers
   * @param clock the clock
   * @param timer runs the calls
   */
  public ConfigFeedClient(
      String process,
      PeerClient peers,
      FeedStore store,
      Supplier<List<Address>> preferred,
      Supplier<List<Address>> fallbacks,
      Clock clock,
      ScheduledExecutorService timer) {
    this.process = process;
    this.peers = peers;
    this.store = store;
    this.preferred = preferred;
    this.fallbacks = fallbacks;
    this.clock = clock;
    this.timer = timer;
  }

  /** Starts asking. */
  public void start() {
    synchronized (lock) {
      running = true;
    }
    ask();
  }

  /** Stops asking; the call in progress is left to end. */
  public void stop() {
    synchronized (lock) {
      running = false;
    }
  }

  private void ask() {
    Optional<Address> source;
    ConfigCall call;
    synchronized (lock) {
      if (!running) {
        return;
      }
      source = rotation.next(preferred.get(), fallbacks.get());
      call = call();
    }
    if (source.isEmpty()) {
      askLater(WAIT_MILLIS);
      return;
    }
    long askedMillis = clock.millis();
    Frame frame = Frame.newBuilder().setConfigCall(call).build();
    CompletableFuture<Void> unused =
        peers
            .call(source.get(), frame, REPLY_TIMEOUT_MILLIS)
            .thenAccept(result -> take(result, call, clock.millis() - askedMillis));
  }

  private ConfigCall call() {
    ConfigCall.Builder call =
        ConfigCall.newBuilder()
            .setProcess(process)
            .setDigest(store.digest())
            .setWaitMillis(WAIT_MILLIS);
    if (nameVersions) {
      call.addAllApplied(FeedCodec.messages(store.versions()));
    }
    return call.build();
  }

  private void take(PeerResult result, ConfigCall call, long tookMillis) {
    if (result instanceof PeerResult.Reply reply && reply.frame().hasConfigReply()) {
      List<ConfigRecord> records = reply.frame().getConfigReply().getRecordsList();
      merge(records);
      askLater(noteReply(call, records.isEmpty(), tookMillis));
    } else {
      askLater(noteFailure());
    }
  }

  private long noteReply(ConfigCall call, boolean empty, long tookMillis) {
    synchronized (lock) {
      boolean digestDiffers = empty && call.getAppliedCount() == 0 && tookMillis < WAIT_MILLIS / 2;
      nameVersions = digestDiffers;
      if (empty && !digestDiffers) {
        rotation.unchanged();
      } else {
        rotation.changed();
      }
      return rotation.pauseMillis();
    }
  }

  private long noteFailure() {
    synchronized (lock) {
      nameVersions = true;
      rotation.failed();
      return rotation.pauseMillis();
    }
  }

  /** Takes a reply as one change, so that nobody acts on a part of the configuration. */
  private void merge(List<ConfigRecord> messages) {
    List<PlatformObject> records =
        messages.stream().map(ConfigFeedClient::read).flatMap(Optional::stream).toList();
    for (PlatformObject applied : store.mergeAll(records)) {
      LOG.atInfo()
          .setMessage("config_applied")
          .addKeyValue("record", applied.key())
          .addKeyValue("generation", applied.version())
          .log();
    }
  }

  private static Optional<PlatformObject> read(ConfigRecord message) {
    Optional<PlatformObject> record = FeedCodec.object(message);
    if (record.isEmpty()) {
      LOG.atWarn()
          .setMessage("config_record_unreadable")
          .addKeyValue("kind", message.getKind())
          .addKeyValue("name", message.getName())
          .log();
    }
    return record;
  }

  private void askLater(long delayMillis) {
    ScheduledFuture<?> unused = timer.schedule(this::ask, delayMillis, TimeUnit.MILLISECONDS);
  }
}
