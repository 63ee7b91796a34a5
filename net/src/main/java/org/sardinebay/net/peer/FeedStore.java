package org.sardinebay.net.peer;

import java.util.List;
import java.util.Map;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/** The configuration of a process, as the feed reads and writes it. Safe for several threads. */
public interface FeedStore {
  /**
   * The records it has.
   *
   * @return the version of each, deleted ones included
   */
  Map<ObjectKey, Long> versions();

  /**
   * A number that differs between stores with different versions.
   *
   * @return a hash of {@link #versions()}, the same on every process; 0 only for an empty store
   */
  long digest();

  /**
   * The records that are newer than some versions.
   *
   * @param versions the versions to compare with; a missing one counts as 0
   * @return the newer records, deletions included
   */
  List<PlatformObject> changedSince(Map<ObjectKey, Long> versions);

  /**
   * Takes those of some records that are newer than what it has, as one change.
   *
   * @param records the records
   * @return the records that were taken
   */
  List<PlatformObject> mergeAll(List<PlatformObject> records);

  /**
   * Takes a record unless it has that version or a newer one.
   *
   * @param record the record
   * @return whether it was taken
   */
  default boolean merge(PlatformObject record) {
    return !mergeAll(List.of(record)).isEmpty();
  }

  /**
   * Adds a listener, called once after each change, on the thread that made it and under no lock.
   *
   * @param listener what to call
   */
  void onChange(Runnable listener);
}
