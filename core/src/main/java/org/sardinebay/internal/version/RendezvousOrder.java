package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.sardinebay.internal.process.Hash64;

/**
 * Orders candidates for a key by rendezvous hashing. Every process with the same candidates
 * computes the same order, and the removal of a candidate doesn't change the relative order of the
 * others.
 *
 * <pre>{@code
 * List<HostId> order = RendezvousOrder.of(database.value(), hosts, HostId::value);
 * }</pre>
 */
public final class RendezvousOrder {
  private RendezvousOrder() {}

  /**
   * Orders candidates.
   *
   * @param key the key to rank the candidates for
   * @param candidates the candidates, in any order
   * @param name returns the name of a candidate
   * @param <T> the candidates' type
   * @return the candidates, sorted with the responsible one first
   */
  public static <T> List<T> of(String key, Collection<T> candidates, Function<T, String> name) {
    return candidates.stream()
        .map(candidate -> new Ranked<>(candidate, name.apply(candidate), key))
        .sorted(Comparator.comparingLong(Ranked<T>::score).thenComparing(Ranked::name))
        .map(Ranked::candidate)
        .toList();
  }

  private record Ranked<T>(T candidate, String name, long score) {
    Ranked(T candidate, String name, String key) {
      this(candidate, name, Hash64.of(key, name));
    }
  }
}
