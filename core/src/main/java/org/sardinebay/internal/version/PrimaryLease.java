package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.sardinebay.MemberId;

/**
 * The lease that this host has on the primary of a term: the time for which it may use the primary
 * without a further confirmation.
 *
 * <p>Before a promotion, its driver fences every other member at the new term and then waits for
 * longer than {@link #DURATION_MILLIS}. While the lease is valid, a single replica that reports
 * that it is not fenced extends it: no promotion can have taken effect yet, so the replica can't
 * have been fenced and unfenced again. After the lease has expired, a replica may have been
 * unfenced by a promotion that it doesn't know of. Every other member, and thus any that could have
 * been promoted, must then be observed unfenced or not running within one lease duration. The lease
 * depends neither on a store nor on the clock of another host.
 *
 * <pre>{@code
 * lease.confirm(replica, sentAt, now);
 * lease.establish(promotableOthers, now);
 * boolean usable = lease.valid(now);
 * }</pre>
 */
public final class PrimaryLease {
  /**
   * How long one confirmation is valid, in milliseconds: several rounds of status requests, so that
   * one lost reply doesn't interrupt service.
   */
  public static final long DURATION_MILLIS = 1_200;

  /**
   * The margin that the driver of a promotion adds to the wait, in milliseconds, because clock
   * rates may differ by a few percent and the promotion order itself takes time.
   */
  public static final long DRIVER_MARGIN_MILLIS = 150;

  private final Map<MemberId, Long> confirmedAt = new HashMap<>();
  private boolean held;
  private long endsAt;

  /**
   * Records that a replica was not fenced. Extends a valid lease.
   *
   * @param replica the replica
   * @param sentAt when the request was sent, in milliseconds; not when the reply arrived
   * @param now when the reply arrived, in milliseconds
   */
  public void confirm(MemberId replica, long sentAt, long now) {
    confirmedAt.merge(replica, sentAt, Math::max);
    if (valid(now)) {
      endsAt = Math.max(endsAt, sentAt + DURATION_MILLIS);
    }
  }

  /**
   * Records that a member's address refused a connection. At that time its process was not running,
   * so it neither was primary nor could be promoted. Doesn't extend the lease.
   *
   * @param member the member
   * @param now when it refused, in milliseconds
   */
  public void observeNotRunning(MemberId member, long now) {
    confirmedAt.merge(member, now, Math::max);
  }

  /**
   * Starts or extends the lease if every other member was observed unfenced, or not running, within
   * one lease duration.
   *
   * @param others the members besides the primary that may be promoted
   * @param now the current time in milliseconds
   */
  public void establish(Collection<MemberId> others, long now) {
    long oldest = now;
    for (MemberId other : others) {
      Long confirmed = confirmedAt.get(other);
      if (confirmed == null || confirmed <= now - DURATION_MILLIS) {
        return;
      }
      oldest = Math.min(oldest, confirmed);
    }
    endsAt = valid(now) ? Math.max(endsAt, oldest + DURATION_MILLIS) : oldest + DURATION_MILLIS;
    held = true;
  }

  /**
   * Starts a lease on a member that was observed to become primary: no later promotion could begin
   * before that.
   *
   * @param followedAt when the last request was sent to which the member still reported the replica
   *     role, in milliseconds
   */
  public void beginAfterTakeover(long followedAt) {
    held = true;
    endsAt = followedAt + DURATION_MILLIS;
  }

  /**
   * Returns whether the primary may be used.
   *
   * @param now the current time in milliseconds
   * @return true while the lease is valid
   */
  public boolean valid(long now) {
    return held && now < endsAt;
  }

  /**
   * Returns the remaining time of the lease.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, 0 if there is no valid lease
   */
  public long remainingMillis(long now) {
    return valid(now) ? endsAt - now : 0;
  }

  /**
   * Ends the lease and discards all confirmations, because a fence or a newer term was observed.
   */
  public void revoke() {
    confirmedAt.clear();
    held = false;
  }
}
