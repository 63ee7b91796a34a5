package org.sardinebay.standins.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;

/** Versioned objects and tombstones. One revision counter covers the changes of all objects. */
final class ObjectTable {
  private final Map<ObjectKey, PlatformObject> byKey = new HashMap<>();
  private final Map<String, TreeMap<Long, PlatformObject>> byKind = new HashMap<>();
  private long revision;

  long revision() {
    return revision;
  }

  PlatformResult read(ObjectKey key) {
    return live(key)
        .<PlatformResult>map(PlatformResult.Found::new)
        .orElseGet(PlatformResult.Absent::new);
  }

  PlatformResult write(ObjectKey key, long expectedVersion, ObjectNode body) {
    long current = version(key);
    if (current != expectedVersion) {
      return new PlatformResult.Conflict(current);
    }
    return new PlatformResult.Found(change(key, false, body));
  }

  /** Deletes an object; a successful result contains its tombstone. */
  PlatformResult delete(ObjectKey key, long expectedVersion) {
    long current = version(key);
    if (current == 0) {
      return new PlatformResult.Absent();
    }
    if (current != expectedVersion) {
      return new PlatformResult.Conflict(current);
    }
    return new PlatformResult.Found(change(key, true, JsonNodeFactory.instance.objectNode()));
  }

  boolean changed(List<String> kinds, long afterRevision) {
    return kinds.stream()
        .map(kind -> byKind.getOrDefault(kind, new TreeMap<>()))
        .anyMatch(objects -> !objects.isEmpty() && objects.lastKey() > afterRevision);
  }

  PlatformResult.Listing changes(List<String> kinds, long afterRevision) {
    List<PlatformObject> objects =
        kinds.stream()
            .distinct()
            .map(kind -> byKind.getOrDefault(kind, new TreeMap<>()))
            .flatMap(ofKind -> ofKind.tailMap(afterRevision, false).values().stream())
            .sorted(Comparator.comparingLong(PlatformObject::version))
            .toList();
    return new PlatformResult.Listing(revision, objects);
  }

  private Optional<PlatformObject> live(ObjectKey key) {
    return Optional.ofNullable(byKey.get(key)).filter(object -> !object.deleted());
  }

  private long version(ObjectKey key) {
    return live(key).map(PlatformObject::version).orElse(0L);
  }

  private PlatformObject change(ObjectKey key, boolean deleted, ObjectNode body) {
    revision++;
    PlatformObject object = new PlatformObject(key, revision, deleted, body);
    PlatformObject before = byKey.put(key, object);
    TreeMap<Long, PlatformObject> ofKind =
        byKind.computeIfAbsent(key.kind(), kind -> new TreeMap<>());
    if (before != null) {
      ofKind.remove(before.version());
    }
    ofKind.put(revision, object);
    return object;
  }
}
