package org.sardinebay.net.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/** A feed store that keeps its records in memory. */
final class InMemoryConfigFeedStore implements ConfigFeedStore {
  private final Map<ObjectKey, PlatformObject> records = new TreeMap<>();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  @Override
  public synchronized Map<ObjectKey, Long> versions() {
    Map<ObjectKey, Long> versions = new TreeMap<>();
    records.forEach((key, record) -> versions.put(key, record.version()));
    return versions;
  }

  @Override
  public long digest() {
    return versions().hashCode();
  }

  @Override
  public synchronized List<PlatformObject> changedSince(Map<ObjectKey, Long> versions) {
    List<PlatformObject> changed = new ArrayList<>();
    for (PlatformObject record : records.values()) {
      if (record.version() > versions.getOrDefault(record.key(), 0L)) {
        changed.add(record);
      }
    }
    return changed;
  }

  @Override
  public List<PlatformObject> mergeAll(List<PlatformObject> batch) {
    List<PlatformObject> applied = batch.stream().filter(this::putIfNewer).toList();
    if (!applied.isEmpty()) {
      listeners.forEach(Runnable::run);
    }
    return applied;
  }

  private synchronized boolean putIfNewer(PlatformObject record) {
    PlatformObject current = records.get(record.key());
    if (current != null && current.version() >= record.version()) {
      return false;
    }
    records.put(record.key(), record);
    return true;
  }

  @Override
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }
}
