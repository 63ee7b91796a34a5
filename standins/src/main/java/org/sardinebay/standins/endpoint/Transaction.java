package org.sardinebay.standins.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An open transaction: its writes, which only its own reads see, and the versions that it met.
 *
 * <p>It is checked when it commits: each key that it read or wrote must have the version that it
 * had when the transaction first met it, and each scanned range the same keys and versions.
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
    List<String> own = written.get(key);
    return own == null ? state.elements(key) : List.copyOf(own);
  }

  @Override
  public SortedMap<String, List<String>> scan(String prefix) {
    scans.putIfAbsent(prefix, state.versions(prefix));
    SortedMap<String, List<String>> found = state.scan(prefix);
    found.putAll(written.subMap(prefix, prefix + Character.MAX_VALUE));
    return found;
  }

  void write(List<Effect> more) {
    for (Effect effect : more) {
      List<String> elements = new ArrayList<>(elements(effect.key()));
      if (effect.mode() == Effect.Mode.SET) {
        elements.clear();
      }
      elements.add(effect.value());
      written.put(effect.key(), elements);
      effects.add(effect);
    }
  }

  /** Whether nothing that it met has changed since. */
  boolean valid() {
    return versions.entrySet().stream()
            .allMatch(met -> state.version(met.getKey()) == met.getValue())
        && scans.entrySet().stream()
            .allMatch(met -> state.versions(met.getKey()).equals(met.getValue()));
  }

  List<Effect> effects() {
    return List.copyOf(effects);
  }
}
