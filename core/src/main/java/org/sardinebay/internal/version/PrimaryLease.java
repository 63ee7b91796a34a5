package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.MemberId;

/**
 * How long the primary of a term may be relied upon without hearing more.
 *
 * <p>Before a promotion, its driver fences every other member at the new term and then waits for
 * {@link #DURATION_MILLIS}. A replica that says that it is not fenced therefore proves that no
 * promotion takes effect within that time of the moment at which it was asked. No store and no
 * clock of another host takes part.
 *
 * <pre>{@code
 * lease.confirm(replica, askedAt);
 * boolean usable = lease.valid(now);
 * }</pre>
 */
public final class PrimaryLease {
  /**
   * How long one confirmation holds, in milliseconds: three rounds of asking, so that one lost
   * answer doesn't stop service.
   */
  public static final long DURATION_MILLIS = 1_200;

  /**
   * What the driver of a promotion adds to the wait, in milliseconds: clocks may run apart by some
   * per cent, and the order itself takes a moment.
   */
  public static final long DRIVER_MARGIN_MILLIS = 150;

  private final Map<MemberId, Long> confirmedAt = new HashMap<>();

  /**
   * Notes that a replica was not fenced.
   *
   * @param replica the replica
   * @param askedAt when it was asked, not when it answered
   */
  public void confirm(MemberId replica, long askedAt) {
    confirmedAt.merge(replica, askedAt, Math::max);
  }

  /**
   * Whether the primary may be relied upon.
   *
   * @param now the time
   * @return true if a confirmation is fresh
   */
  public boolean valid(long now) {
    return remainingMillis(now) > 0;
  }

  /**
   * How long the lease lasts from now on.
   *
   * @param now the time
   * @return milliseconds, 0 if it has run out or there was no confirmation
   */
  public long remainingMillis(long now) {
    return confirmedAt.values().stream()
        .mapToLong(at -> at + DURATION_MILLIS - now)
        .filter(remaining -> remaining > 0)
        .max()
        .orElse(0);
  }

  /** Drops all confirmations: a fence or a newer term was seen. */
  public void revoke() {
    confirmedAt.clear();
  }
}
