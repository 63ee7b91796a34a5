package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.impeller.ConfigurationDecoder;
import org.sardinebay.impeller.MemberEntryDecoder;
import org.sardinebay.impeller.PlatformKeys;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.MemberDirectory;
import org.sardinebay.internal.version.VersionedRecord;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.ConfigStoreAdapter;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.ObjectVersion;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.RegisteredHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the configuration, members and hosts received from the store and from peers. All of them
 * pass through one {@link ConfigStore}, which rejects older versions, so the order of arrival does
 * not matter.
 */
public final class StoreFeeds {
  /** The kind of the objects under which gateways register. */
  public static final String HOSTS = "sardinebay-hosts";

  /**
   * The key of the operator's configuration among the records that hosts send each other. The
   * record's version is the operator's version number, because a restored store assigns revisions
   * again.
   */
  private static final ObjectKey CONFIGURATION = new ObjectKey("sardinebay-configuration", "main");

  private static final Logger LOG = LoggerFactory.getLogger(StoreFeeds.class);

  private final ConfigStore records;
  private final ConfigStoreAdapter storeAdapter;
  private final Services services;
  private final Clock clock;
  private final ConfigurationDecoder configurations = new ConfigurationDecoder();
  private final MemberEntryDecoder entries = new MemberEntryDecoder();
  private final MemberDirectory directory = new MemberDirectory();
  private final Map<ObjectKey, Long> appliedVersions = new HashMap<>();
  private final AtomicBoolean refreshScheduled = new AtomicBoolean();
  private volatile List<RegisteredHost> hosts = List.of();

  /**
   * Creates the feeds.
   *
   * @param records the records of this process
   * @param storeAdapter the same records as the feed between hosts accesses them; records are
   *     merged through it, so that its listeners are notified
   * @param services receives the configuration and the members
   * @param clock the clock
   */
  public StoreFeeds(
      ConfigStore records, ConfigStoreAdapter storeAdapter, Services services, Clock clock) {
    this.records = records;
    this.storeAdapter = storeAdapter;
    this.services = services;
    this.clock = clock;
  }

  /**
   * Returns a listener that merges the objects of one kind from the store.
   *
   * @param kind the kind
   * @return the listener
   */
  public ObjectWatch.Listener listener(String kind) {
    return new ObjectWatch.Listener() {
      @Override
      public void onListing(long revision, List<PlatformObject> objects) {
        List<PlatformObject> all = new ArrayList<>();
        objects.forEach(object -> toRecord(object).ifPresent(all::add));
        all.addAll(tombstonesForMissing(kind, revision, objects));
        merge(kind, all);
      }

      @Override
      public void onChanges(List<PlatformObject> objects) {
        mergeInOrder(kind, objects);
      }
    };
  }

  /**
   * Merges changes in the order of their events. Consecutive records are merged as one change,
   * because each change is applied to all records and sent to all peers that wait for one. The
   * version of a deletion depends on the record that it follows, so those before it are merged
   * first.
   */
  private void mergeInOrder(String kind, List<PlatformObject> objects) {
    List<PlatformObject> pending = new ArrayList<>();
    for (PlatformObject object : objects) {
      if (object.deleted()) {
        merge(kind, pending);
        pending = new ArrayList<>();
      }
      versionTombstone(object).flatMap(this::toRecord).ifPresent(pending::add);
    }
    merge(kind, pending);
  }

  private Optional<PlatformObject> toRecord(PlatformObject object) {
    if (!object.key().equals(PlatformKeys.CONFIGURATION)) {
      return Optional.of(object);
    }
    OptionalLong version = configurations.version(object.body());
    if (object.deleted() || version.isEmpty()) {
      logUnreadable("configuration_unreadable", object.key(), object.version());
      return Optional.empty();
    }
    LOG.atInfo()
        .setMessage("configuration_received")
        .addKeyValue("version", version.getAsLong())
        .addKeyValue("revision", ObjectVersion.text(object.version()))
        .addKeyValue("held", records.version(CONFIGURATION))
        .log();
    return Optional.of(
        new PlatformObject(CONFIGURATION, version.getAsLong(), false, object.body()));
  }

  private void merge(String kind, List<PlatformObject> objects) {
    if (objects.isEmpty()) {
      return;
    }
    storeAdapter.mergeAll(objects);
    List<PlatformObject> older =
        objects.stream()
            .filter(object -> object.version() < records.version(object.key()))
            .toList();
    if (!older.isEmpty()) {
      PlatformObject first = older.get(0);
      LOG.atWarn()
          .setMessage("older_records_ignored")
          .addKeyValue("kind", kind)
          .addKeyValue("records", older.size())
          .addKeyValue("first", first.key())
          .addKeyValue("revision", ObjectVersion.text(first.version()))
          .addKeyValue("held", ObjectVersion.text(records.version(first.key())))
          .log();
    }
  }

  /**
   * Gives a deletion a version above the one held, so that it replaces the record, but below that
   * of any later creation under the same name, which may follow at once. A deletion of an object
   * that is not held, or older than the version held, is dropped, and so is one that a peer has
   * sent before.
   */
  private Optional<PlatformObject> versionTombstone(PlatformObject object) {
    if (!object.deleted()) {
      return Optional.of(object);
    }
    long held = records.version(object.key());
    boolean known = object.version() == held && records.deleted(object.key());
    return held == 0 || object.version() < held || known
        ? Optional.empty()
        : Optional.of(tombstone(object.key(), Math.max(held + 1, object.version())));
  }

  private static PlatformObject tombstone(ObjectKey key, long version) {
    return new PlatformObject(key, version, true, Json.newObject());
  }

  private List<PlatformObject> tombstonesForMissing(
      String kind, long revision, List<PlatformObject> listed) {
    Set<ObjectKey> present = new HashSet<>();
    listed.forEach(object -> present.add(object.key()));
    return records.changedSince(Map.of()).stream()
        .filter(record -> record.key().kind().equals(kind) && !record.deleted())
        .filter(record -> !present.contains(record.key()) && record.version() < revision)
        .map(record -> tombstone(record.key(), record.version() + 1))
        .toList();
  }

  /**
   * Schedules {@link #refresh} unless it is scheduled already, so that changes in quick succession
   * are applied together. May be called on any thread.
   *
   * @param loop runs tasks on the event loop's thread
   */
  public void refreshSoon(Executor loop) {
    if (refreshScheduled.compareAndSet(false, true)) {
      loop.execute(this::refresh);
    }
  }

  /** Applies the changed records. */
  public void refresh() {
    refreshScheduled.set(false);
    List<VersionedRecord> all = records.changedSince(Map.of());
    List<MemberEntry> members = new ArrayList<>();
    List<RegisteredHost> registered = new ArrayList<>();
    for (VersionedRecord record : all) {
      boolean changed =
          !Long.valueOf(record.version())
              .equals(appliedVersions.put(record.key(), record.version()));
      if (record.deleted() || record.key().name().isEmpty()) {
        continue;
      }
      switch (record.key().kind()) {
        case PlatformKeys.MEMBER_KIND -> entry(record, changed).ifPresent(members::add);
        case HOSTS -> host(record).ifPresent(registered::add);
        default -> onConfiguration(record, changed);
      }
    }
    if (!registered.equals(hosts)) {
      hosts = List.copyOf(registered);
    }
    directory.replaceAll(members, clock.millis());
    services.replaceMembers(directory.members(clock.millis()));
  }

  private static Optional<RegisteredHost> host(VersionedRecord record) {
    String domain = record.body().path("failureDomain").asText("");
    return Address.parse(record.body().path("peers").asText(""))
        .filter(address -> !domain.isEmpty())
        .map(
            address ->
                new RegisteredHost(
                    new HostId(record.key().name()), new FailureDomain(domain), address));
  }

  private void onConfiguration(VersionedRecord record, boolean changed) {
    if (changed && record.key().equals(CONFIGURATION)) {
      configurations
          .read(record.body())
          .ifPresentOrElse(
              services::configure,
              () -> logUnreadable("configuration_unreadable", record.key(), record.version()));
    }
  }

  private Optional<MemberEntry> entry(VersionedRecord record, boolean changed) {
    Optional<MemberEntry> entry = entries.read(record.key().name(), record.body());
    if (entry.isEmpty() && changed) {
      logUnreadable("member_entry_unreadable", record.key(), record.version());
    }
    return entry;
  }

  private static void logUnreadable(String event, ObjectKey key, long version) {
    LOG.atWarn()
        .setMessage(event)
        .addKeyValue("object", key)
        .addKeyValue("revision", ObjectVersion.text(version))
        .log();
  }

  /**
   * Returns the registered hosts.
   *
   * @return the hosts; the same list instance until it changes. May be called on any thread
   */
  public List<RegisteredHost> hosts() {
    return hosts;
  }

  /**
   * Applies changed records that wait for their refresh, and removes members whose entries
   * disappeared long enough ago.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    if (refreshScheduled.get()) {
      refresh();
    }
    services.replaceMembers(directory.members(now));
  }
}
