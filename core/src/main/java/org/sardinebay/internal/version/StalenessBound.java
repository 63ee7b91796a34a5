package org.sardinebay.internal.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Computes provable bounds on the staleness of reads. The age of data read at index {@code i} is at
 * most the time since the latest request to the primary whose reply reported an index of at most
 * {@code i}.
 *
 * <p>A reply of the primary counts only once a majority of the members has replied, to requests
 * sent no earlier, that they know no newer term. Otherwise a newer primary might have committed
 * entries in the meantime.
 */
final class StalenessBound {
  private static final int MAX_SAMPLES = 2048;

  private final Deque<Sample> samples = new ArrayDeque<>();

  /** Records that the primary replied with {@code index} to a request sent at {@code sentAt}. */
  void add(long sentAt, long index) {
    Sample last = samples.peekLast();
    if (last != null && (last.sentAt >= sentAt || last.index > index)) {
      return;
    }
    samples.addLast(new Sample(sentAt, index));
    if (samples.size() > MAX_SAMPLES) {
      samples.pollFirst();
    }
  }

  /**
   * Returns the lowest index that a member must have applied for its data to be at most {@code
   * maxAgeMillis} old at time {@code at}, or empty if no such index can be proved.
   */
  OptionalLong minimumIndex(long at, long maxAgeMillis, long termVerifiedAt) {
    for (Sample sample : samples) {
      if (sample.sentAt > termVerifiedAt) {
        break;
      }
      if (sample.sentAt >= at - maxAgeMillis) {
        return OptionalLong.of(sample.index);
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Returns an upper bound for the age, at time {@code now}, of data that includes entries up to
   * {@code index}, or empty if none can be proved.
   */
  OptionalLong age(long index, long now, long termVerifiedAt) {
    OptionalLong age = OptionalLong.empty();
    for (Sample sample : samples) {
      if (sample.sentAt > termVerifiedAt || sample.index > index) {
        break;
      }
      age = OptionalLong.of(now - sample.sentAt);
    }
    return age;
  }

  void clear() {
    samples.clear();
  }

  private record Sample(long sentAt, long index) {}
}
