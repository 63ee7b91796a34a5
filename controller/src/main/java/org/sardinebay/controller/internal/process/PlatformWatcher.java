package org.sardinebay.controller.internal.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.DatabaseId;
import org.sardinebay.internal.version.AcceptanceQueue;
import org.sardinebay.internal.version.PromotionRecord;
import org.sardinebay.internal.version.VersionedRecord;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.ConfigFeedStore;
import org.sardinebay.platform.HostListCodec;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.RecordCodecs;
import org.sardinebay.record.RecordStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads configuration records and the host list from the platform, accepts or rejects the records,
 * and merges accepted ones into the configuration store.
 *
 * <pre>{@code
 * platformWatcher.start();
 * }</pre>
 *
 * <p>Only a few controllers of each failure domain watch the platform; the others get the
 * configuration from them through the feed.
 */
final class PlatformWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformWatcher.class);
  private static final long WATCH_WAIT_MILLIS = 3_000;
  private static final long EMPTY_LISTING_DELAY_MILLIS = 10;
  private static final long BACKOFF_MILLIS = 500;
  private static final long NOT_WATCHING_RECHECK_MILLIS = 1_000;
  private static final long HOSTS_INTERVAL_MILLIS = 1_000;
  private static final long STATUS_WRITE_INTERVAL_MILLIS = 200;
  private static final long TIMEOUT_MILLIS = 500;

  private final ControllerRuntime runtime;
  private final Topology topology;
  private final ConfigFeedStore store;
  private final Supervisors supervisors;
  private final Object lock = new Object();
  private final AcceptanceQueue queue;
  private long revision;
  private long lastListingMillis;
  private boolean listed;
  private boolean answering = true;

  PlatformWatcher(
      ControllerRuntime runtime,
      Topology topology,
      ConfigFeedStore store,
      Supervisors supervisors) {
    this.runtime = runtime;
    this.topology = topology;
    this.store = store;
    this.supervisors = supervisors;
    this.queue = new AcceptanceQueue(runtime.invariantReporter());
  }

  void start() {
    schedule(this::watch, 0);
    schedule(this::readHosts, 0);
    schedule(this::writeStatuses, STATUS_WRITE_INTERVAL_MILLIS);
  }

  /** Whether the platform has listed its objects at least once. */
  boolean listed() {
    synchronized (lock) {
      return listed;
    }
  }

  ObjectNode dump() {
    synchronized (lock) {
      ObjectNode json = Json.newObject().put("revision", revision);
      json.put("watching", topology.watchesPlatform());
      json.put("listed", listed);
      json.put("answering", answering);
      json.put("sinceListingMillis", runtime.clock().millis() - lastListingMillis);
      ObjectNode statuses = json.putObject("statuses");
      for (Map.Entry<ObjectKey, RecordStatus> status : queue.statuses().entrySet()) {
        statuses
            .putObject(status.getKey().toString())
            .put("generation", status.getValue().generation())
            .put("state", status.getValue().state().name())
            .put("specGeneration", status.getValue().specGeneration());
      }
      return json;
    }
  }

  private void watch() {
    if (!topology.watchesPlatform()) {
      schedule(this::watch, NOT_WATCHING_RECHECK_MILLIS);
      return;
    }
    long after;
    synchronized (lock) {
      after = revision;
    }
    List<String> kinds = new ArrayList<>(RecordCodecs.kinds());
    kinds.add(RecordStatus.KIND);
    kinds.add(PromotionRecord.KIND);
    CompletableFuture<Void> unused =
        runtime
            .platform()
            .watch(kinds, after, after == 0 ? 0 : WATCH_WAIT_MILLIS)
            .thenAccept(this::onWatchResult);
  }

  private void onWatchResult(PlatformResult result) {
    if (!(result instanceof PlatformResult.Listing listing)) {
      LOG.atDebug().setMessage("platform_watch_failed").addKeyValue("result", result).log();
      updateAnswering(result);
      schedule(this::watch, BACKOFF_MILLIS);
      return;
    }
    updateAnswering(result);
    synchronized (lock) {
      revision = listing.revision();
      listed = true;
      lastListingMillis = runtime.clock().millis();
    }
    apply(listing.objects());
    schedule(this::watch, listing.objects().isEmpty() ? EMPTY_LISTING_DELAY_MILLIS : 0);
    writeDueStatuses();
  }

  private void updateAnswering(PlatformResult result) {
    boolean answers = result instanceof PlatformResult.Listing;
    synchronized (lock) {
      if (answers == answering) {
        return;
      }
      answering = answers;
    }
    String cause =
        result instanceof PlatformResult.Failed failed ? failed.failure().name() : "NONE";
    LOG.atWarn()
        .setMessage(answers ? "platform_back" : "platform_lost")
        .addKeyValue("cause", cause)
        .log();
  }

  private void apply(List<PlatformObject> objects) {
    List<VersionedRecord> accepted;
    synchronized (lock) {
      accepted = queue.onObjects(withoutPromotions(objects), runtime.clock().millis());
    }
    accepted.forEach(this::merge);
    objects.stream()
        .filter(object -> object.key().kind().equals(PromotionRecord.KIND))
        .forEach(this::observePromotion);
  }

  private static List<PlatformObject> withoutPromotions(List<PlatformObject> objects) {
    return objects.stream()
        .filter(object -> !object.key().kind().equals(PromotionRecord.KIND))
        .toList();
  }

  private void observePromotion(PlatformObject object) {
    DatabaseId database = new DatabaseId(object.key().name());
    PromotionRecord.read(object.body())
        .ifPresent(record -> supervisors.onPromotionRecord(database, record));
  }

  private void merge(VersionedRecord record) {
    PlatformObject object =
        new PlatformObject(record.key(), record.version(), record.deleted(), record.body());
    if (store.merge(object)) {
      LOG.atInfo()
          .setMessage("config_accepted")
          .addKeyValue("record", record.key())
          .addKeyValue("generation", record.version())
          .log();
    }
  }

  private void writeStatuses() {
    writeDueStatuses();
    schedule(this::writeStatuses, STATUS_WRITE_INTERVAL_MILLIS);
  }

  private void writeDueStatuses() {
    if (!topology.watchesPlatform()) {
      return;
    }
    List<AcceptanceQueue.StatusWrite> due;
    synchronized (lock) {
      due = queue.due(runtime.self().host(), topology.platformWatchers(), runtime.clock().millis());
    }
    due.forEach(this::write);
  }

  private void write(AcceptanceQueue.StatusWrite write) {
    CompletableFuture<Void> unused =
        runtime
            .platform()
            .write(write.key(), write.expectedVersion(), write.status().body(), TIMEOUT_MILLIS)
            .thenAccept(result -> onStatusWritten(write, result));
  }

  private void onStatusWritten(AcceptanceQueue.StatusWrite write, PlatformResult result) {
    if (result instanceof PlatformResult.Found found) {
      LOG.atInfo()
          .setMessage("record_decided")
          .addKeyValue("status", write.key())
          .addKeyValue("generation", write.status().generation())
          .addKeyValue("state", write.status().state())
          .addKeyValue("problems", '"' + write.status().problems().toString() + '"')
          .log();
      apply(List.of(found.object()));
    } else if (result instanceof PlatformResult.Conflict || effectUnknown(result)) {
      readStatus(write.key());
    }
  }

  private void readStatus(ObjectKey status) {
    CompletableFuture<Void> unused =
        runtime
            .platform()
            .read(status, TIMEOUT_MILLIS)
            .thenAccept(
                result -> {
                  if (result instanceof PlatformResult.Found found) {
                    apply(List.of(found.object()));
                  }
                });
  }

  private static boolean effectUnknown(PlatformResult result) {
    return result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.NO_ANSWER;
  }

  private void readHosts() {
    schedule(this::readHosts, HOSTS_INTERVAL_MILLIS);
    if (!topology.watchesPlatform()) {
      return;
    }
    CompletableFuture<Void> unused =
        runtime.platform().hosts(TIMEOUT_MILLIS).thenAccept(this::applyHosts);
  }

  private void applyHosts(PlatformResult result) {
    if (result instanceof PlatformResult.Hosts hosts && hosts.revision() > 0) {
      ObjectNode body = HostListCodec.write(hosts.hosts());
      merge(new VersionedRecord(HostListCodec.FEED_KEY, hosts.revision(), false, body));
    }
  }

  private void schedule(Runnable action, long delayMillis) {
    ScheduledFuture<?> unused =
        runtime.timer().schedule(action, delayMillis, TimeUnit.MILLISECONDS);
  }
}
