package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.sardinebay.MemberId;

/**
 * How long the primary of a term may be relied upon without hearing more.
 *
 * <p>Before a promotion, its driver fences every other member at the new term and then waits for
 * longer than {@link #DURATION_MILLIS}. While a lease is valid, one replica that says that it is
 * not fenced prolongs it: no promotion can have taken effect yet, so the replica can't have been
 * fenced and let go again. Once a lease has run out, a replica may have been let go by a promotion
 * that it does not know of; then all other members must be seen unfenced within one lease's time,
 * among them whichever could have been promoted, or found not running within that time. No store
 * and no clock of another host takes part.
 *
 * <pre>{@code
 * lease.confirm(replica, askedAt, now);
 * lease.establish(othersThatMayLead, now);
 * boolean usable = lease.valid(now);
 * }</pre>
 */
public final class PrimaryLease {
  /**
   * How long one confirmation holds, in milliseconds: some rounds of asking, so that one lost
   * answer doesn't stop service.
   */
  public static final long DURATION_MILLIS = 1_200;

  /**
   * What the driver of a promotion adds to the wait, in milliseconds: clocks may run apart by some
   * per cent, and the order itself takes a moment.
   */
  public static final long DRIVER_MARGIN_MILLIS = 150;

  private final Map<MemberId, Long> confirmedAt = new HashMap<>();
  private boolean held;
  private long endsAt;

  /**
   * Notes that a replica was not fenced. Prolongs a valid lease.
   *
   * @param replica the replica
   * @param askedAt when it was asked, not when it answered
   * @param now when it answered
   */
  public void confirm(MemberId replica, long askedAt, long now) {
    confirmedAt.merge(replica, askedAt, Math::max);
    if (valid(now)) {
      endsAt = Math.max(endsAt, askedAt + DURATION_MILLIS);
    }
  }

  /**
   * Notes that a member's address refused a connection: at that moment it ran no process, so it
   * neither led nor could be ordered to. Prolongs nothing.
   *
   * @param member the member
   * @param now the time of the refusal
   */
  public void noteNotRunning(MemberId member, long now) {
    confirmedAt.merge(member, now, Math::max);
  }

  /**
   * Begins or prolongs a lease if every other member was seen unfenced, or not running, within one
   * lease's time.
   *
   * @param others the members besides the primary that may be ordered to lead
   * @param now the time
   */
  public void establish(Collection<MemberId> others, long now) {
    long oldest = now;
    for (MemberId other : others) {
      Long at = confirmedAt.get(other);
      if (at == null || at <= now - DURATION_MILLIS) {
        return;
      }
      oldest = Math.min(oldest, at);
    }
    endsAt = valid(now) ? Math.max(endsAt, oldest + DURATION_MILLIS) : oldest + DURATION_MILLIS;
    held = true;
  }

  /**
   * Begins a lease on a member that was seen to take over: until it led, no later promotion could
   * be under way.
   *
   * @param followedAt when the member was last asked and still followed
   */
  public void beginAfterTakeover(long followedAt) {
    held = true;
    endsAt = followedAt + DURATION_MILLIS;
  }

  /**
   * Whether the primary may be relied upon.
   *
   * @param now the time
   * @return true while the lease lasts
   */
  public boolean valid(long now) {
    return held && now < endsAt;
  }

  /**
   * How long the lease lasts from now on.
   *
   * @param now the time
   * @return milliseconds, 0 if there is none
   */
  public long remainingMillis(long now) {
    return valid(now) ? endsAt - now : 0;
  }

  /** Ends the lease and drops all confirmations: a fence or a newer term was seen. */
  public void revoke() {
    confirmedAt.clear();
    held = false;
  }
}
