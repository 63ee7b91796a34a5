package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinebay.MemberId;

/**
 * The lease that this host has on the primary of a term: the time for which it may use the primary
 * without a further confirmation.
 *
 * <p>A host can't prove that a member has ended: silence, a refused connection and a missing
 * registry entry all occur for members that other hosts still reach. The lease therefore rests on
 * two kinds of evidence, and the driver of a promotion waits for both to expire everywhere:
 *
 * <ul>
 *   <li><em>Confirmation.</em> A replica that was not fenced extends a valid lease by {@link
 *       #DURATION_MILLIS}. A driver that has fenced every other member waits for longer than that.
 *   <li><em>Coverage.</em> The lease is valid only while, within {@link #COVERAGE_MILLIS}, either
 *       each other member confirmed it, among them any that could be promoted, or the store showed
 *       that no change of the primary has been announced. A driver that leaves a member out has
 *       announced the change and waits for longer than that.
 * </ul>
 *
 * <p>An expired lease starts again only if every other member was observed unfenced within one
 * duration, or if the store showed within one duration that no change has been announced and the
 * members that can't be left out were observed unfenced. A primary without other members has nobody
 * to confirm its lease but the store.
 *
 * <pre>{@code
 * lease.cover(others, membersKnownAt);
 * lease.confirm(replica, sentAt, now);
 * lease.establish(required, now);
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
   * How long evidence that covers all other members is valid, in milliseconds: longer than two
   * calls of the store that fail in a row. A driver that leaves a member out waits for as long, and
   * the change has to end within six seconds.
   */
  public static final long COVERAGE_MILLIS = 2_500;

  /**
   * The margin that the driver of a promotion adds to the wait, in milliseconds, because clock
   * rates may differ by a few percent and the promotion order itself takes time.
   */
  public static final long DRIVER_MARGIN_MILLIS = 150;

  /**
   * How old a host's knowledge of the registered members may be, in milliseconds, while one of them
   * may confirm for the others. Beyond that, the driver may no longer know a member that this host
   * still uses, so the coverage is as short as a confirmation. Longer than a watch of the members
   * waits, twice.
   */
  public static final long MEMBERS_KNOWN_MILLIS = 10_000;

  /**
   * How long a member has to be known, in milliseconds, before it extends a lease by its
   * confirmation. The driver of a change lists the members more often.
   */
  public static final long JOINED_MILLIS = 3_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<MemberId, Long> confirmedAt = new HashMap<>();
  private Collection<MemberId> others = List.of();
  private boolean membersComplete;
  private long membersKnownAt = NEVER;
  private long unannouncedAt = NEVER;
  private long takenOverAfter = NEVER;
  private boolean held;
  private long endsAt;

  /**
   * Sets the members that have to be covered.
   *
   * @param covered all members besides the primary that may be promoted, reachable or not
   * @param knownAt as of when the registered members are known, in milliseconds
   */
  public void cover(Collection<MemberId> covered, long knownAt) {
    others = List.copyOf(covered);
    membersKnownAt = knownAt;
  }

  /**
   * Records that this host knows every member that may be promoted: the store showed that no change
   * was announced after this host had listed the members. Before that, the members can't cover the
   * lease, since a member that this host has never known may lead a newer term. Afterwards, drivers
   * only promote a member that is registered after their announcement.
   */
  public void onMembersComplete() {
    membersComplete = true;
  }

  /**
   * Records that a replica was not fenced, without extending the lease: a driver may not know the
   * replica yet.
   *
   * @param replica the replica
   * @param sentAt when the request was sent, in milliseconds; not when the reply arrived
   */
  public void observe(MemberId replica, long sentAt) {
    confirmedAt.merge(replica, sentAt, Math::max);
  }

  /**
   * Records that a replica was not fenced. Extends a valid lease.
   *
   * @param replica the replica, which every driver knows
   * @param sentAt when the request was sent, in milliseconds; not when the reply arrived
   * @param now when the reply arrived, in milliseconds
   */
  public void confirm(MemberId replica, long sentAt, long now) {
    boolean wasValid = valid(now);
    observe(replica, sentAt);
    if (wasValid) {
      endsAt = Math.max(endsAt, sentAt + DURATION_MILLIS);
    }
  }

  /**
   * Records that no change of the primary was announced in the store.
   *
   * @param askedAt when the store was asked, in milliseconds
   */
  public void onUnannounced(long askedAt) {
    unannouncedAt = Math.max(unannouncedAt, askedAt);
  }

  /**
   * Starts or extends the lease if the required members were observed unfenced within one lease
   * duration. If not all covered members are required, the store must have shown within the same
   * time that no change has been announced.
   *
   * @param required the members that can't be left out
   * @param now the current time in milliseconds
   */
  public void establish(Collection<MemberId> required, long now) {
    boolean complete = membersComplete && !others.isEmpty() && required.containsAll(others);
    long evidence = required.isEmpty() ? now : oldestConfirmation(required);
    if (!complete) {
      evidence = Math.min(evidence, unannouncedAt);
    }
    long end = evidence + DURATION_MILLIS;
    if (end > now) {
      endsAt = valid(now) ? Math.max(endsAt, end) : end;
      held = true;
    }
  }

  /** Returns the oldest of the members' last confirmations, {@link #NEVER} without members. */
  private long oldestConfirmation(Collection<MemberId> members) {
    long oldest = members.isEmpty() ? NEVER : Long.MAX_VALUE;
    for (MemberId member : members) {
      oldest = Math.min(oldest, confirmedAt.getOrDefault(member, NEVER));
    }
    return oldest;
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
    takenOverAfter = followedAt;
    endsAt = followedAt + DURATION_MILLIS;
  }

  /**
   * Returns whether the primary may be used.
   *
   * @param now the current time in milliseconds
   * @return true while the lease is valid
   */
  public boolean valid(long now) {
    return remainingMillis(now) > 0;
  }

  /**
   * Returns the remaining time of the lease.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, 0 if there is no valid lease
   */
  public long remainingMillis(long now) {
    return held ? Math.max(0, Math.min(endsAt, coveredUntil(now)) - now) : 0;
  }

  private long coveredUntil(long now) {
    long byMembers = membersComplete ? oldestConfirmation(others) : NEVER;
    long evidence = Math.max(byMembers, Math.max(unannouncedAt, takenOverAfter));
    return evidence + coverageMillis(now);
  }

  /**
   * Returns how long evidence that covers all other members is valid at present.
   *
   * @param now the current time in milliseconds
   * @return milliseconds
   */
  public long coverageMillis(long now) {
    boolean membersKnown = now - membersKnownAt <= MEMBERS_KNOWN_MILLIS;
    return membersKnown ? COVERAGE_MILLIS : DURATION_MILLIS;
  }

  /**
   * Returns how long ago a member was last asked that confirmed the lease.
   *
   * @param member the member
   * @param now the current time in milliseconds
   * @return milliseconds, very large if it has not confirmed the lease
   */
  public long confirmationAgeMillis(MemberId member, long now) {
    return now - confirmedAt.getOrDefault(member, NEVER);
  }

  /**
   * Returns the time until the lease is no longer covered.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, negative if it is not covered
   */
  public long coverageRemainingMillis(long now) {
    return coveredUntil(now) - now;
  }

  /**
   * Ends the lease and discards all confirmations, because a fence or a newer term was observed.
   */
  public void revoke() {
    confirmedAt.clear();
    takenOverAfter = NEVER;
    held = false;
  }
}
