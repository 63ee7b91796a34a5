package org.sardinebay.internal.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Proves how old data is: a read that shows index {@code i} is at most as old as the newest
 * question to the primary that was answered with an index up to {@code i}.
 *
 * <p>An answer of the primary counts only once a majority of the members answered, to questions not
 * older than it, that they know no newer term; else a newer primary might have gone on meanwhile.
 */
final class AgeProof {
  private static final int MAX_SAMPLES = 2048;

  private final Deque<Sample> samples = new ArrayDeque<>();

  /** Notes that the primary answered {@code index} to a question asked at {@code askedAt}. */
  void add(long askedAt, long index) {
    Sample last = samples.peekLast();
    if (last != null && (last.askedAt >= askedAt || last.index > index)) {
      return;
    }
    samples.addLast(new Sample(askedAt, index));
    if (samples.size() > MAX_SAMPLES) {
      samples.pollFirst();
    }
  }

  /**
   * The least index that a member must show for its data to be at most {@code maxAgeMillis} old at
   * time {@code at}.
   */
  OptionalLong leastIndex(long at, long maxAgeMillis, long ratifiedAt) {
    for (Sample sample : samples) {
      if (sample.askedAt > ratifiedAt) {
        break;
      }
      if (sample.askedAt >= at - maxAgeMillis) {
        return OptionalLong.of(sample.index);
      }
    }
    return OptionalLong.empty();
  }

  /** An upper bound for the age at time {@code now} of data up to {@code index}. */
  OptionalLong age(long index, long now, long ratifiedAt) {
    OptionalLong age = OptionalLong.empty();
    for (Sample sample : samples) {
      if (sample.askedAt > ratifiedAt || sample.index > index) {
        break;
      }
      age = OptionalLong.of(now - sample.askedAt);
    }
    return age;
  }

  void clear() {
    samples.clear();
  }

  private record Sample(long askedAt, long index) {}
}
