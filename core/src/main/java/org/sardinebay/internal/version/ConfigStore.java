package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sardinebay.DatabaseId;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.Hash64;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.ProxyRecord;
import org.sardinebay.record.StalenessRecord;

/**
 * The newest configuration known to a process, merged from any source in any order. The version of
 * a record never decreases; a deletion is a tombstone with a version of its own.
 *
 * <pre>{@code
 * store.mergeAll(reply.records());
 * for (DatabaseRecord database : store.databases().values()) { ... }
 * }</pre>
 *
 * <p>Thread-safe: one lock guards the records; the typed records are immutable and are decoded
 * again only after a change.
 */
public final class ConfigStore {
  private final SortedMap<ObjectKey, VersionedRecord> records = new TreeMap<>();
  private long digest;
  private volatile ConfigSnapshot snapshot = ConfigSnapshot.of(List.of());

  /**
   * Stores a record if its version is higher than the stored one.
   *
   * @param record the record or tombstone
   * @return the result of the merge
   */
  public MergeResult merge(VersionedRecord record) {
    synchronized (records) {
      MergeResult result = put(record);
      refresh(result == MergeResult.APPLIED);
      return result;
    }
  }

  /**
   * Merges several records.
   *
   * @param batch the records and tombstones
   * @return the records that were applied
   */
  public List<VersionedRecord> mergeAll(Collection<VersionedRecord> batch) {
    synchronized (records) {
      List<VersionedRecord> applied =
          batch.stream().filter(record -> put(record) == MergeResult.APPLIED).toList();
      refresh(!applied.isEmpty());
      return applied;
    }
  }

  /**
   * Returns a hash of the kind, name and version of all records and tombstones. Stores with the
   * same versions have the same digest, regardless of the order of arrival.
   *
   * @return 64 bits, 0 for the empty store
   */
  public long digest() {
    synchronized (records) {
      return digest;
    }
  }

  /**
   * Returns the stored versions, including those of tombstones.
   *
   * @return the version of each record
   */
  public Map<ObjectKey, Long> versions() {
    synchronized (records) {
      Map<ObjectKey, Long> versions = new TreeMap<>();
      records.forEach((key, record) -> versions.put(key, record.version()));
      return versions;
    }
  }

  /**
   * Returns the stored version of one record.
   *
   * @param key the record's key
   * @return the version of the record or its tombstone, 0 if there is none
   */
  public long version(ObjectKey key) {
    synchronized (records) {
      VersionedRecord stored = records.get(key);
      return stored == null ? 0 : stored.version();
    }
  }

  /**
   * Returns whether a record was deleted.
   *
   * @param key the record's key
   * @return true if a tombstone is stored
   */
  public boolean deleted(ObjectKey key) {
    synchronized (records) {
      VersionedRecord stored = records.get(key);
      return stored != null && stored.deleted();
    }
  }

  /**
   * Returns the records that another process is missing.
   *
   * @param versions the versions known to the other process
   * @return the records and tombstones for which it has no version or a lower one
   */
  public List<VersionedRecord> changedSince(Map<ObjectKey, Long> versions) {
    synchronized (records) {
      return records.values().stream()
          .filter(record -> record.version() > versions.getOrDefault(record.key(), 0L))
          .toList();
    }
  }

  /**
   * Returns the database records that this software version can decode.
   *
   * @return the records by name
   */
  public Map<DatabaseId, DatabaseRecord> databases() {
    return snapshot.databases();
  }

  /**
   * Returns the proxy records that this software version can decode.
   *
   * @return the records by host
   */
  public Map<HostId, ProxyRecord> proxies() {
    return snapshot.proxies();
  }

  /**
   * Returns the staleness rules that this software version can decode.
   *
   * @return the records, sorted by name
   */
  public List<StalenessRecord> stalenessRules() {
    return snapshot.stalenessRules();
  }

  /**
   * Returns the platform's list of hosts.
   *
   * @return one entry for each host; empty until a list has arrived
   */
  public List<HostEntry> hosts() {
    return snapshot.hosts();
  }

  /**
   * Returns a consistent snapshot of all typed records.
   *
   * @return an immutable snapshot
   */
  public ConfigSnapshot snapshot() {
    return snapshot;
  }

  private MergeResult put(VersionedRecord record) {
    VersionedRecord stored = records.get(record.key());
    if (stored != null && stored.version() >= record.version()) {
      return notNewer(stored, record);
    }
    requireHigher(stored, record);
    records.put(record.key(), record);
    digest += hash(record) - (stored == null ? 0 : hash(stored));
    return MergeResult.APPLIED;
  }

  private static MergeResult notNewer(VersionedRecord stored, VersionedRecord record) {
    if (stored.version() > record.version()) {
      return MergeResult.OLDER;
    }
    return stored.equals(record) ? MergeResult.ALREADY_APPLIED : MergeResult.CONTENT_DIFFERS;
  }

  private void refresh(boolean changed) {
    if (changed) {
      snapshot = ConfigSnapshot.of(records.values());
    }
  }

  private static void requireHigher(VersionedRecord before, VersionedRecord after) {
    if (before != null && after.version() <= before.version()) {
      throw new IllegalStateException(
          "version of "
              + after.key()
              + " decreased from "
              + before.version()
              + " to "
              + after.version());
    }
  }

  private static long hash(VersionedRecord record) {
    ObjectKey key = record.key();
    return Hash64.of(key.kind(), key.name(), Long.toString(record.version()));
  }
}
