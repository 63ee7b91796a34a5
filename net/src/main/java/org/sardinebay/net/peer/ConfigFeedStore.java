package org.sardinebay.net.peer;

import java.util.List;
import java.util.Map;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/** The configuration store that the feed reads and updates. Thread-safe. */
public interface ConfigFeedStore {
  /**
   * Returns the versions of all records.
   *
   * @return the version of each record, including deleted records
   */
  Map<ObjectKey, Long> versions();

  /**
   * Returns a digest with which two stores detect that their versions differ.
   *
   * @return a hash of {@link #versions()}, the same on every process; 0 only for an empty store
   */
  long digest();

  /**
   * Returns the records that are newer than the given versions.
   *
   * @param versions the versions to compare with; a missing key counts as version 0
   * @return the newer records, including deletions
   */
  List<PlatformObject> changedSince(Map<ObjectKey, Long> versions);

  /**
   * Stores the given records in a single change, except those that are already stored in this
   * version or a newer one.
   *
   * @param records the records
   * @return the records that were stored
   */
  List<PlatformObject> mergeAll(List<PlatformObject> records);

  /**
   * Stores a record unless this version or a newer one is already stored.
   *
   * @param record the record
   * @return whether the record was stored
   */
  default boolean merge(PlatformObject record) {
    return !mergeAll(List.of(record)).isEmpty();
  }

  /**
   * Adds a listener that is called once after each change, on the thread that made the change and
   * without holding a lock.
   *
   * @param listener the listener
   */
  void onChange(Runnable listener);
}
