package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Names the lists that sessions write to; moves on to a new list before one grows long. No two
 * databases have a list of the same name.
 */
final class ListNames {
  private static final int MAX_LIST_LENGTH = 40;
  private static final int SHARED_LISTS = 4;
  private static final int PAIRS = 8;

  private final Map<String, AtomicLong> uses = new ConcurrentHashMap<>();

  /** A list of one session's own. */
  String own(String database, String session) {
    return next("own:" + database + ":" + session);
  }

  /** A list that all sessions write to. */
  String shared(String database, Random random) {
    return next("shared:" + database + ":" + random.nextInt(SHARED_LISTS));
  }

  /** A pair of lists that transactions of all sessions write to. */
  String pair(String database, Random random) {
    return next("pair:" + database + ":" + random.nextInt(PAIRS));
  }

  /** One of a few keys at random. */
  static String oneOf(List<String> keys, Random random) {
    return keys.get(random.nextInt(keys.size()));
  }

  private String next(String base) {
    long use = uses.computeIfAbsent(base, unused -> new AtomicLong()).getAndIncrement();
    return base + ":" + use / MAX_LIST_LENGTH;
  }
}
