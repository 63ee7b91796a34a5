package org.sardinebay.net.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.VersionedRecord;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/**
 * Adapts a process's {@link ConfigStore} to the feed.
 *
 * <pre>{@code
 * ConfigFeedStore storeAdapter = new ConfigStoreAdapter(store);
 * storeAdapter.onChange(listener);
 * }</pre>
 */
public final class ConfigStoreAdapter implements ConfigFeedStore {
  private final ConfigStore store;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

  /**
   * Creates an adapter.
   *
   * @param store the configuration store
   */
  public ConfigStoreAdapter(ConfigStore store) {
    this.store = store;
  }

  @Override
  public Map<ObjectKey, Long> versions() {
    return store.versions();
  }

  @Override
  public long digest() {
    return store.digest();
  }

  @Override
  public List<PlatformObject> changedSince(Map<ObjectKey, Long> versions) {
    return store.changedSince(versions).stream()
        .map(
            record ->
                new PlatformObject(record.key(), record.version(), record.deleted(), record.body()))
        .toList();
  }

  @Override
  public List<PlatformObject> mergeAll(List<PlatformObject> objects) {
    List<VersionedRecord> records = objects.stream().map(ConfigStoreAdapter::record).toList();
    List<VersionedRecord> applied = store.mergeAll(records);
    if (!applied.isEmpty()) {
      listeners.forEach(Runnable::run);
    }
    return applied.stream().map(ConfigStoreAdapter::object).toList();
  }

  private static VersionedRecord record(PlatformObject object) {
    return new VersionedRecord(object.key(), object.version(), object.deleted(), object.body());
  }

  private static PlatformObject object(VersionedRecord record) {
    return new PlatformObject(record.key(), record.version(), record.deleted(), record.body());
  }

  @Override
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }
}
