package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sardinebay.HostId;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.process.InvariantReporter;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.record.RecordStatus;

/**
 * Tracks operators' records and their acceptance statuses, and determines which statuses to write
 * next.
 *
 * <pre>{@code
 * queue.onObjects(listing.objects(), now);
 * for (StatusWrite write : queue.due(self, controllers, now)) { ... }
 * }</pre>
 *
 * <p>Rendezvous hashing ranks the controllers for each record. The first one decides; each
 * following one decides only if the record still has no decision after one more delay. Not
 * thread-safe.
 */
public final class AcceptanceQueue {
  private static final long RANK_DELAY_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 500;

  private final InvariantReporter invariantReporter;
  private final Map<ObjectKey, PlatformObject> records = new TreeMap<>();
  private final Map<ObjectKey, Status> statuses = new HashMap<>();
  private final Map<ObjectKey, Long> receivedAtMillis = new HashMap<>();
  private final Map<ObjectKey, Long> retryAtMillis = new HashMap<>();

  /**
   * Creates an empty queue.
   *
   * @param invariantReporter receives invariant violations
   */
  public AcceptanceQueue(InvariantReporter invariantReporter) {
    this.invariantReporter = invariantReporter;
  }

  /**
   * Merges objects listed by the platform. Objects older than the known version are ignored.
   *
   * @param objects operators' records and status objects
   * @param nowMillis the current time
   * @return the newly accepted content, to be merged into the configuration store
   */
  public List<VersionedRecord> onObjects(List<PlatformObject> objects, long nowMillis) {
    List<VersionedRecord> accepted = new ArrayList<>();
    for (PlatformObject object : objects) {
      if (object.key().kind().equals(RecordStatus.KIND)) {
        mergeStatus(object).ifPresent(accepted::add);
      } else if (newer(object)) {
        records.put(object.key(), object);
        receivedAtMillis.put(object.key(), nowMillis);
      }
    }
    return accepted;
  }

  /**
   * Returns the statuses that this controller should write now. A returned status isn't returned
   * again until its retry is due.
   *
   * @param self this controller's host
   * @param controllers the hosts of all controllers that decide on records
   * @param nowMillis the current time
   * @return the writes
   */
  public List<StatusWrite> due(HostId self, List<HostId> controllers, long nowMillis) {
    List<StatusWrite> due = new ArrayList<>();
    for (PlatformObject record : records.values()) {
      Optional<Status> status = Optional.ofNullable(statuses.get(record.key()));
      Optional<RecordStatus> decision = Acceptance.decide(record, status.map(Status::content));
      if (decision.isPresent() && nowMillis >= dueMillis(record.key(), self, controllers)) {
        retryAtMillis.put(record.key(), nowMillis + RETRY_MILLIS);
        long expected = status.map(Status::version).orElse(0L);
        due.add(new StatusWrite(RecordStatus.key(record.key()), expected, decision.get()));
      }
    }
    return due;
  }

  /**
   * Returns the known statuses.
   *
   * @return the latest status of each record
   */
  public Map<ObjectKey, RecordStatus> statuses() {
    Map<ObjectKey, RecordStatus> known = new TreeMap<>();
    statuses.forEach((key, status) -> known.put(key, status.content));
    return known;
  }

  private boolean newer(PlatformObject object) {
    PlatformObject known = records.get(object.key());
    return known == null || known.version() < object.version();
  }

  private long dueMillis(ObjectKey record, HostId self, List<HostId> controllers) {
    int rank = RendezvousOrder.of(record.toString(), controllers, HostId::value).indexOf(self);
    long rankDueMillis = receivedAtMillis.get(record) + Math.max(0, rank) * RANK_DELAY_MILLIS;
    return Math.max(rankDueMillis, retryAtMillis.getOrDefault(record, 0L));
  }

  private Optional<VersionedRecord> mergeStatus(PlatformObject object) {
    Optional<ObjectKey> record = RecordStatus.recordKey(object.key());
    Optional<RecordStatus> content = RecordStatus.read(object.body());
    if (record.isEmpty() || content.isEmpty()) {
      return Optional.empty();
    }
    Status known = statuses.get(record.get());
    if (known != null && known.version >= object.version()) {
      return Optional.empty();
    }
    if (known != null) {
      checkNoRevert(record.get(), known.content, content.get());
    }
    statuses.put(record.get(), new Status(object.version(), content.get()));
    return acceptedRecord(record.get(), content.get());
  }

  private void checkNoRevert(ObjectKey record, RecordStatus before, RecordStatus after) {
    boolean holds =
        after.generation() >= before.generation()
            && after.specGeneration() >= before.specGeneration();
    invariantReporter.check(
        holds,
        InvariantName.CONFIGURATION_NEVER_REVERTS,
        record + " reverted from generation " + before.generation() + " to " + after.generation());
  }

  private static Optional<VersionedRecord> acceptedRecord(ObjectKey record, RecordStatus content) {
    if (content.specGeneration() == 0) {
      return Optional.empty();
    }
    return Optional.of(
        new VersionedRecord(record, content.specGeneration(), content.deleted(), content.spec()));
  }

  /**
   * A conditional write of a status.
   *
   * @param key the key of the status object
   * @param expectedVersion the version that the stored object must have
   * @param status the new status
   */
  public record StatusWrite(ObjectKey key, long expectedVersion, RecordStatus status) {}

  private record Status(long version, RecordStatus content) {}
}
