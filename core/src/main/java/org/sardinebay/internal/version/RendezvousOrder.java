package org.sardinebay.internal.version;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Orders candidates for a key by rendezvous hashing: every process that knows the same candidates
 * gets the same order, and a candidate that leaves changes only its own places.
 *
 * <pre>{@code
 * List<HostId> order = RendezvousOrder.of(database.value(), hosts, HostId::value);
 * }</pre>
 */
public final class RendezvousOrder {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long FIRST_MIX = 0xff51afd7ed558ccdL;
  private static final long SECOND_MIX = 0xc4ceb9fe1a85ec53L;
  private static final int MIX_SHIFT = 33;

  private RendezvousOrder() {}

  /**
   * Orders candidates.
   *
   * @param key what they are wanted for
   * @param candidates the candidates, in any order
   * @param name the name of a candidate
   * @param <T> the candidates' type
   * @return the candidates, the responsible one first
   */
  public static <T> List<T> of(String key, Collection<T> candidates, Function<T, String> name) {
    Comparator<T> byHash =
        (a, b) -> Long.compareUnsigned(hash(key, name.apply(a)), hash(key, name.apply(b)));
    return candidates.stream().sorted(byHash.thenComparing(name)).toList();
  }

  private static long hash(String key, String candidate) {
    long hash = FNV_OFFSET;
    for (byte b : (key + "\0" + candidate).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> MIX_SHIFT)) * FIRST_MIX;
    hash = (hash ^ (hash >>> MIX_SHIFT)) * SECOND_MIX;
    return hash ^ (hash >>> MIX_SHIFT);
  }
}
