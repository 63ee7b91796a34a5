package org.sardinebay.internal.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * How long statements occupy a connection, observed by kind, as exponentially weighted means.
 *
 * <pre>{@code
 * durations.observed(kind, millis);
 * OptionalDouble expected = durations.expectedMillis(kind);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class StatementDurations {
  /** Weight of a new sample: a change of the durations shows within some ten statements. */
  private static final double GAIN = 0.1;

  /** The number of kinds to remember; the kind not used for longest is forgotten first. */
  private static final int MAX_KINDS = 256;

  private final Map<Kind, Double> byKind =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Kind, Double> eldest) {
          return size() > MAX_KINDS;
        }
      };
  private OptionalDouble mean = OptionalDouble.empty();

  /**
   * A kind of statements that take similar time.
   *
   * @param database the database of the route
   * @param writes whether the statements may write
   */
  public record Kind(String database, boolean writes) {}

  /**
   * Records one statement.
   *
   * @param kind its kind
   * @param millis how long it occupied its connection, in milliseconds
   */
  public void observed(Kind kind, long millis) {
    byKind.merge(kind, (double) millis, StatementDurations::weighted);
    mean =
        OptionalDouble.of(
            mean.isPresent() ? weighted(mean.getAsDouble(), (double) millis) : millis);
  }

  private static double weighted(double old, double sample) {
    return old + GAIN * (sample - old);
  }

  /**
   * Returns the expected duration of a kind.
   *
   * @param kind the kind
   * @return the duration in milliseconds; that of all kinds if the kind has no samples; empty if no
   *     kind has any
   */
  public OptionalDouble expectedMillis(Kind kind) {
    Double known = byKind.get(kind);
    return known == null ? mean : OptionalDouble.of(known);
  }

  /**
   * Returns the mean over the recent statements of all kinds.
   *
   * @return the duration in milliseconds, empty without samples
   */
  public OptionalDouble meanMillis() {
    return mean;
  }
}
