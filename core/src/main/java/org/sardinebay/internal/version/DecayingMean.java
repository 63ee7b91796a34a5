package org.sardinebay.internal.version;

/** A mean of samples that lose half of their weight in a fixed time. */
final class DecayingMean {
  private final double halfLifeMillis;
  private double sum;
  private double weight;
  private long decayedAt;

  /**
   * Creates a mean without samples.
   *
   * @param halfLifeMillis the time in which a sample loses half of its weight, in milliseconds
   */
  DecayingMean(double halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  void add(double sample, long now) {
    decay(now);
    sum += sample;
    weight += 1;
  }

  /** Returns the weight of all samples; a sample that was just added has weight 1. */
  double weight(long now) {
    decay(now);
    return weight;
  }

  /** Returns the mean; the caller checks that there is weight. */
  double mean(long now) {
    decay(now);
    return sum / weight;
  }

  private void decay(long now) {
    if (now > decayedAt) {
      double factor = Math.pow(0.5, (now - decayedAt) / halfLifeMillis);
      sum *= factor;
      weight *= factor;
      decayedAt = now;
    }
  }
}
