package org.sardinebay.internal.version;

/** A driver lease that is held until a given time. */
final class FakeDriverLease implements DriverLease {
  private long token = 7;
  private long endsAt = Long.MAX_VALUE;

  void end(long at) {
    endsAt = at;
  }

  void renew() {
    endsAt = Long.MAX_VALUE;
  }

  void passToAnotherHost() {
    token++;
  }

  @Override
  public long token() {
    return token;
  }

  @Override
  public long remainingMillis(long now) {
    return Math.max(0, endsAt - now);
  }
}
