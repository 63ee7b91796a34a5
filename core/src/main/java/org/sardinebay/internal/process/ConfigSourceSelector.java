package org.sardinebay.internal.process;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Address;

/**
 * Chooses the source of the next configuration call, and the delay before the call.
 *
 * <pre>{@code
 * Optional<Address> source = sourceSelector.next(controllers, peers);
 * sourceSelector.recordUnchanged(); // or recordChanged(), or recordFailure()
 * long pause = sourceSelector.pauseMillis();
 * }</pre>
 *
 * <p>The preferred sources are queried round-robin, so that a source that is partitioned from the
 * others does not delay this process for long. The fallbacks are queried only after all preferred
 * sources have failed in a row. Not thread-safe.
 */
public final class ConfigSourceSelector {
  private static final long MIN_PAUSE_MILLIS = 50;
  private static final long BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  private int nextIndex;
  private int consecutiveFailures;
  private int failedRounds;

  /**
   * The source to query next.
   *
   * @param preferred the sources to query first
   * @param fallbacks the sources to query while no preferred one answers
   * @return a source, or empty if both lists are empty
   */
  public Optional<Address> next(List<Address> preferred, List<Address> fallbacks) {
    int total = preferred.size() + fallbacks.size();
    if (total == 0) {
      return Optional.empty();
    }
    if (consecutiveFailures >= total) {
      consecutiveFailures = 0;
      failedRounds++;
    }
    boolean useFallback = consecutiveFailures >= preferred.size();
    List<Address> sources = useFallback ? fallbacks : preferred;
    return Optional.of(sources.get(Math.floorMod(nextIndex, sources.size())));
  }

  /** Records that the source had no newer records: another source is queried next. */
  public void recordUnchanged() {
    nextIndex++;
    reset();
  }

  /**
   * Records that the source returned newer records: it is queried again, since it may have more.
   */
  public void recordChanged() {
    reset();
  }

  /** Records that the source did not answer. */
  public void recordFailure() {
    nextIndex++;
    consecutiveFailures++;
  }

  /**
   * The delay before the next call.
   *
   * @return milliseconds, growing with the number of rounds in which no source answered
   */
  public long pauseMillis() {
    if (failedRounds == 0) {
      return MIN_PAUSE_MILLIS;
    }
    return Math.min(MAX_BACKOFF_MILLIS, BACKOFF_MILLIS << Math.min(failedRounds, 4));
  }

  private void reset() {
    consecutiveFailures = 0;
    failedRounds = 0;
  }
}
