package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Names the lists that sessions write to; the name of a list is its key, and a pair has a name from
 * which {@link Keys} builds the keys of its two lists. Each name is used 40 times and then replaced
 * by a new one, which keeps lists short. Names are unique across databases.
 */
final class ListNames {
  private static final int MAX_LIST_LENGTH = 40;
  private static final int SHARED_LISTS = 4;
  private static final int PAIRS = 8;

  private final Map<String, AtomicLong> uses = new ConcurrentHashMap<>();

  /** Returns a list that only one session writes to. */
  String own(String database, String session) {
    return next("own:" + database + ":" + session);
  }

  /** Returns a list that all sessions write to. */
  String shared(String database, Random random) {
    return next("shared:" + database + ":" + random.nextInt(SHARED_LISTS));
  }

  /** Returns a pair of lists that transactions of all sessions write to. */
  String pair(String database, Random random) {
    return next("pair:" + database + ":" + random.nextInt(PAIRS));
  }

  /** Returns a random element. */
  static String randomElement(List<String> keys, Random random) {
    return keys.get(random.nextInt(keys.size()));
  }

  private String next(String base) {
    long use = uses.computeIfAbsent(base, unused -> new AtomicLong()).getAndIncrement();
    return base + ":" + use / MAX_LIST_LENGTH;
  }
}
