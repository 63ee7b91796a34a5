package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.sardinebay.MemberId;
import org.sardinebay.session.MemberEntry;

/**
 * This host's lease on the primary of one service, and what this host knows that the lease rests
 * on: the members that have to be covered, and the changes of primary that the store shows as
 * announced.
 *
 * <pre>{@code
 * view.lease().onMembersKnown(knownAt);
 * view.lease().onAnnouncedTerm(term, askedAt, now);
 * }</pre>
 *
 * <p>Not thread-safe: confined to the event loop of its owner.
 */
public final class ServiceLease {
  /**
   * How long a member whose entry has disappeared has to be covered by a lease, in milliseconds. It
   * is longer than a member that crashed, or was cut off for a moment, takes to return. One that
   * returns later counts as a new member (docs/ASSUMPTIONS.md). While a change is announced, none
   * is forgotten: it may lead the new term.
   */
  public static final long REMEMBERED_MILLIS = 60_000;

  /**
   * How long a member whose entry has disappeared has to be fenced, in milliseconds, before the
   * driver may rely on confirmations having expired. By then, no host that knows the registered
   * members uses it any more: the sum of {@link PrimaryLease#MEMBERS_KNOWN_MILLIS}, {@link
   * MemberDirectory#EXPIRY_GRACE_MILLIS} and {@link PrimaryLease#DURATION_MILLIS}.
   */
  public static final long RECENTLY_DEPARTED_MILLIS = 15_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ServiceView view;
  private final PrimaryLease lease = new PrimaryLease();
  private final DepartedMembers departed = new DepartedMembers();
  private OptionalLong membersSince = OptionalLong.empty();
  private long membersKnownAt = NEVER;
  private long announcedTerm;
  private long announcementsKnownAt = NEVER;

  ServiceLease(ServiceView view) {
    this.view = view;
  }

  void onMembers(Collection<MemberEntry> known, Collection<MemberEntry> listed, long now) {
    if (!listed.isEmpty() && membersSince.isEmpty()) {
      membersSince = OptionalLong.of(now);
    }
    departed.onMembers(known, listed, now);
  }

  /**
   * Records as of when the registered members are known.
   *
   * @param knownAt when the store was asked, in milliseconds
   */
  public void onMembersKnown(long knownAt) {
    membersKnownAt = Math.max(membersKnownAt, knownAt);
  }

  /** Returns whether the members are known from a list asked for at the given time or later. */
  boolean membersListedSince(long time) {
    return membersKnownAt >= time;
  }

  /**
   * Applies the change of primary that the store shows as announced.
   *
   * @param newTerm the lowest term that a member may be promoted to, 0 if none was announced
   * @param askedAt when the store was asked, in milliseconds
   * @param now the current time in milliseconds
   */
  public void onAnnouncedTerm(long newTerm, long askedAt, long now) {
    if (askedAt < announcementsKnownAt) {
      return;
    }
    announcedTerm = newTerm;
    announcementsKnownAt = askedAt;
    establish(now);
  }

  /**
   * Returns whether the store shows that a change of the known primary has been announced and has
   * not taken effect as far as this host knows.
   *
   * @return true if a member may be promoted to a newer term than the known primary's
   */
  public boolean changeAnnounced() {
    return announcedTerm > view.term();
  }

  /**
   * Returns a term for a change of primary, above all that a member may lead.
   *
   * @return the term
   */
  public long nextTerm() {
    return Math.max(view.newestTerm(), announcedTerm) + 1;
  }

  /** Records that a replica was not fenced when it was asked. */
  void confirm(MemberView replica, long sentAt, long now) {
    if (replica.knownToDrivers(now)) {
      lease.confirm(replica.id(), sentAt, now);
    } else {
      lease.observe(replica.id(), sentAt);
    }
  }

  /**
   * Starts or extends the lease if the evidence suffices. While a change is announced, the members
   * have to be listed within a lease duration: a promotion lifts the fences of the members that
   * this host knows, and the new primary may have joined since.
   */
  void establish(long now) {
    coverMembers();
    if (view.primary().isEmpty() || view.newestTerm() != view.term()) {
      return;
    }
    if (!changeAnnounced()) {
      onUnannounced();
    } else if (!membersListedSince(now - PrimaryLease.DURATION_MILLIS)) {
      return;
    }
    lease.establish(otherMembers().filter(m -> !mayBeLeftOut(m)).map(MemberView::id).toList(), now);
  }

  private void onUnannounced() {
    lease.onUnannounced(announcementsKnownAt);
    boolean listedBefore =
        membersKnownAt > NEVER
            && membersSince.isPresent()
            && membersSince.getAsLong() <= announcementsKnownAt;
    if (listedBefore) {
      lease.onMembersComplete();
    }
  }

  void coverMembers() {
    List<MemberId> others = new ArrayList<>(departed.all());
    otherMembers().map(MemberView::id).forEach(others::add);
    lease.cover(others, membersKnownAt);
  }

  private Stream<MemberView> otherMembers() {
    Optional<MemberView> primary = view.primary();
    return view.members().stream()
        .filter(m -> !primary.equals(Optional.of(m)))
        .filter(m -> !view.replacedAtSameAddress(m));
  }

  /**
   * Whether a lease may start although a member can't be asked, provided that the store shows that
   * no change has been announced. A silent member whose entry stands may only be left out by a
   * lease that is already valid, because hosts of older builds promote such a member unannounced.
   */
  private boolean mayBeLeftOut(MemberView member) {
    boolean leaving = member.entry().draining() && view.synchronousReplicas() == 0;
    return member.unreachable() && (leaving || member.refusing() || member.entry().expired());
  }

  void revoke() {
    lease.revoke();
  }

  void beginAfterTakeover(long followedAt) {
    lease.beginAfterTakeover(followedAt);
  }

  void tick(long now) {
    if (!changeAnnounced()) {
      departed.discardOlderThan(REMEMBERED_MILLIS, now);
    }
    coverMembers();
  }

  boolean valid(long now) {
    return lease.valid(now);
  }

  long remainingMillis(long now) {
    return lease.remainingMillis(now);
  }

  /**
   * Returns the time until the lease is no longer covered, neither by confirmations of all other
   * members nor by the store.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, not positive if it is not covered
   */
  public long coverageRemainingMillis(long now) {
    return lease.coverageRemainingMillis(now);
  }

  /**
   * Returns how long the confirmations of the other members cover the lease at present.
   *
   * @param now the current time in milliseconds
   * @return milliseconds
   */
  public long coverageMillis(long now) {
    return lease.coverageMillis(now);
  }

  /**
   * Returns the time until a member's confirmation no longer covers it.
   *
   * @param member the member
   * @param now the current time in milliseconds
   * @return milliseconds, negative if it no longer does
   */
  public long coverageMillis(MemberId member, long now) {
    return lease.coverageMillis(now) - lease.confirmationAgeMillis(member, now);
  }

  /**
   * Returns whether no other member is registered that could confirm the lease.
   *
   * @return true if the primary is the only registered member
   */
  public boolean primaryAlone() {
    return view.primary().isPresent() && view.members().size() == 1;
  }

  /**
   * Returns the members that may have confirmed the lease of some host within the last time: the
   * registered ones and those whose entries disappeared less than {@link #RECENTLY_DEPARTED_MILLIS}
   * ago.
   *
   * @param now the current time in milliseconds
   * @return the ids; empty if this host has not followed the members for long enough to know them,
   *     or has not listed them within {@link PrimaryLease#JOINED_MILLIS}
   */
  public Optional<Set<MemberId>> possibleMembers(long now) {
    boolean followed =
        membersSince.isPresent()
            && now - membersSince.getAsLong() >= RECENTLY_DEPARTED_MILLIS
            && now - membersKnownAt < PrimaryLease.JOINED_MILLIS;
    if (!followed) {
      return Optional.empty();
    }
    Set<MemberId> possible = new HashSet<>(departed.within(RECENTLY_DEPARTED_MILLIS, now));
    view.members().forEach(m -> possible.add(m.id()));
    return Optional.of(possible);
  }

  /**
   * Returns whether the entry of a member has disappeared less than {@link
   * #RECENTLY_DEPARTED_MILLIS} ago. Such a member may lead a term that this host doesn't know.
   *
   * @param now the current time in milliseconds
   * @return true if there is such a member
   */
  public boolean recentlyDeparted(long now) {
    return !departed.within(RECENTLY_DEPARTED_MILLIS, now).isEmpty();
  }
}
