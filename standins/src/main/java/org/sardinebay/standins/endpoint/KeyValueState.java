package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sardinebay.Position;

/** The key-value state that results from the applied entries of a log. */
final class KeyValueState implements View {
  private final TreeMap<String, Value> values = new TreeMap<>();
  private Position applied = Position.ZERO;

  Position applied() {
    return applied;
  }

  /** Returns the index of the last entry that changed a key, or 0 if there is none. */
  long version(String key) {
    Value value = values.get(key);
    return value == null ? 0 : value.version;
  }

  /** Returns the versions of all keys that start with a prefix. */
  Map<String, Long> versions(String prefix) {
    Map<String, Long> versions = new TreeMap<>();
    range(prefix).forEach((key, value) -> versions.put(key, value.version));
    return versions;
  }

  @Override
  public List<String> elements(String key) {
    Value value = values.get(key);
    return value == null ? List.of() : List.copyOf(value.elements);
  }

  @Override
  public SortedMap<String, List<String>> scan(String prefix) {
    SortedMap<String, List<String>> found = new TreeMap<>();
    range(prefix).forEach((key, value) -> found.put(key, List.copyOf(value.elements)));
    return found;
  }

  void apply(LogEntry entry) {
    for (Effect effect : entry.effects()) {
      Value value = values.computeIfAbsent(effect.key(), key -> new Value());
      if (effect.mode() == Effect.Mode.SET) {
        value.elements.clear();
      }
      value.elements.add(effect.value());
      value.version = entry.position().index();
    }
    applied = entry.position();
  }

  void reset() {
    values.clear();
    applied = Position.ZERO;
  }

  private SortedMap<String, Value> range(String prefix) {
    return values.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  private static final class Value {
    private final List<String> elements = new ArrayList<>();
    private long version;
  }
}
