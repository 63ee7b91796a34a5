package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An open transaction with optimistic concurrency control. Its writes are visible only to its own
 * reads until it commits.
 *
 * <p>At commit, each key that was read or written must still have the version that it had on first
 * access, and each scanned range must contain the same keys and versions.
 */
final class Transaction implements View {
  private final KeyValueState state;
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, Map<String, Long>> scans = new HashMap<>();
  private final TreeMap<String, List<String>> written = new TreeMap<>();
  private final List<Effect> effects = new ArrayList<>();

  Transaction(KeyValueState state) {
    this.state = state;
  }

  @Override
  public List<String> elements(String key) {
    versions.putIfAbsent(key, state.version(key));
    List<String> ownElements = written.get(key);
    return ownElements == null ? state.elements(key) : List.copyOf(ownElements);
  }

  @Override
  public SortedMap<String, List<String>> scan(String prefix) {
    scans.putIfAbsent(prefix, state.versions(prefix));
    SortedMap<String, List<String>> found = state.scan(prefix);
    found.putAll(written.subMap(prefix, prefix + Character.MAX_VALUE));
    return found;
  }

  void write(List<Effect> newEffects) {
    for (Effect effect : newEffects) {
      List<String> elements = new ArrayList<>(elements(effect.key()));
      if (effect.mode() == Effect.Mode.SET) {
        elements.clear();
      }
      elements.add(effect.value());
      written.put(effect.key(), elements);
      effects.add(effect);
    }
  }

  /** Returns whether all accessed keys and ranges still have the versions of the first access. */
  boolean valid() {
    return versions.entrySet().stream()
            .allMatch(seen -> state.version(seen.getKey()) == seen.getValue())
        && scans.entrySet().stream()
            .allMatch(seen -> state.versions(seen.getKey()).equals(seen.getValue()));
  }

  List<Effect> effects() {
    return List.copyOf(effects);
  }
}
