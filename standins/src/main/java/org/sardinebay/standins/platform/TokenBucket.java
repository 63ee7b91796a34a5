package org.sardinebay.standins.platform;

/** Token bucket rate limiter. The burst size is the number of calls permitted in one second. */
final class TokenBucket {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final double perSecond;
  private double tokens;
  private long refilledAt;

  TokenBucket(int perSecond, long now) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.refilledAt = now;
  }

  boolean tryTake(long now) {
    double refill = (now - refilledAt) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.min(perSecond, tokens + refill);
    refilledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
