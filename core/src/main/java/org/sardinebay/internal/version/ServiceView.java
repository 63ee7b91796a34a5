package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;

/**
 * This host's view of one service: its members, its primary and the lease on the primary.
 *
 * <pre>{@code
 * view.onStatus(member, status, sentAt, now);
 * Optional<MemberView> primary = view.leasedPrimary(now);
 * }</pre>
 *
 * <p>Not thread-safe: confined to the event loop of its owner.
 */
public final class ServiceView {
  /**
   * How long a primary has to be usable, in milliseconds, before the log of a replica whose entry
   * has disappeared is no longer waited for. During an outage, entries expire and are registered
   * again within some seconds.
   */
  public static final long DEPARTED_LOG_MILLIS = 10_000;

  private final String service;
  private final Map<MemberId, MemberView> members = new LinkedHashMap<>();
  private final ServiceLease lease = new ServiceLease(this);

  /** Positions observed on the primary while its lease was valid; they bound the age of reads. */
  private final PrimaryPositions leasedPositions = new PrimaryPositions();

  /**
   * Positions observed on the primary with or without a lease; they show how recently a replica
   * that reports a position was not fenced.
   */
  private final PrimaryPositions observedPositions = new PrimaryPositions();

  /** Replicas without an entry, which may hold commits that no registered replica has. */
  private final Map<MemberId, Departure> departures = new HashMap<>();

  private int synchronousReplicas;
  private Optional<MemberId> primary = Optional.empty();
  private long term;
  private long newestTerm;
  private OptionalLong withoutPrimarySince;

  private record Departure(Address address, long at) {}

  /**
   * Creates the view of a service of which nothing is known.
   *
   * @param service the service's name
   * @param now the current time in milliseconds
   */
  public ServiceView(String service, long now) {
    this.service = service;
    this.withoutPrimarySince = OptionalLong.of(now);
  }

  /**
   * Returns the service's name.
   *
   * @return the name
   */
  public String service() {
    return service;
  }

  /**
   * Sets how many replicas have received a commit before it is acknowledged.
   *
   * @param count the number of replicas; 0 if commits don't wait for replicas
   */
  public void requireReplicas(int count) {
    synchronousReplicas = count;
  }

  /**
   * Returns how many replicas have received a commit before it is acknowledged.
   *
   * @return the number of replicas; 0 if commits don't wait for replicas
   */
  public int synchronousReplicas() {
    return synchronousReplicas;
  }

  /**
   * Replaces the registered members.
   *
   * @param entries one for each member
   * @param now the current time in milliseconds
   */
  public void setMembers(Collection<MemberEntry> entries, long now) {
    Set<MemberId> ids = entries.stream().map(MemberEntry::id).collect(Collectors.toSet());
    lease.onMembers(members.values().stream().map(MemberView::entry).toList(), entries, now);
    for (MemberView known : members.values()) {
      if (!ids.contains(known.id()) && !primary.equals(Optional.of(known.id()))) {
        departures.put(known.id(), new Departure(known.entry().address(), now));
      }
    }
    departures.keySet().removeAll(ids);
    // The log of a member that has left is transferred to the next member at its address.
    entries.forEach(e -> departures.values().removeIf(d -> d.address().equals(e.address())));
    members.keySet().retainAll(ids);
    for (MemberEntry entry : entries) {
      MemberView known = members.get(entry.id());
      if (known == null || !known.entry().sameIncarnation(entry)) {
        members.put(entry.id(), new MemberView(entry, now));
      } else {
        known.update(entry, now);
      }
    }
    if (primary.isPresent() && !members.containsKey(primary.get())) {
      primary = Optional.empty();
    }
    lease.coverMembers();
  }

  /**
   * Returns the members.
   *
   * @return a live view
   */
  public Collection<MemberView> members() {
    return members.values();
  }

  /**
   * Returns a member.
   *
   * @param id its id
   * @return the member, or empty if it is not registered
   */
  public Optional<MemberView> member(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  /**
   * Returns the replicas whose entries have disappeared and whose logs no other member is known to
   * have: no primary has been usable for {@link #DEPARTED_LOG_MILLIS} since.
   *
   * @return the ids
   */
  public Set<MemberId> departedReplicas() {
    return Set.copyOf(departures.keySet());
  }

  /**
   * Applies a status reported by a member.
   *
   * @param id the member
   * @param status the status
   * @param sentAt when the request was sent, in milliseconds
   * @param now the current time in milliseconds
   * @return whether the primary or the term changed
   */
  public boolean onStatus(MemberId id, MemberStatus status, long sentAt, long now) {
    MemberView member = members.get(id);
    if (member == null) {
      return false;
    }
    member.onReply();
    OptionalLong followedAt = member.lastFollowedAt();
    member.status(status, sentAt);
    observeTerm(status.term());
    if (status.role() == MemberRole.PRIMARY) {
      return onPrimary(id, status.term(), followedAt, now);
    }
    if (status.fenceTerm() > term) {
      lease.revoke();
    } else if (status.term() <= term && newestTerm == term) {
      lease.confirm(member, sentAt, now);
      lease.establish(now);
    }
    if (primary.equals(Optional.of(id))) {
      primary = Optional.empty();
      lease.revoke();
      return true;
    }
    return false;
  }

  private boolean onPrimary(MemberId id, long primaryTerm, OptionalLong followedAt, long now) {
    if (primaryTerm == term && primary.equals(Optional.of(id))) {
      lease.establish(now);
      return false;
    }
    if (primaryTerm < term) {
      return false;
    }
    if (primaryTerm > term) {
      term = primaryTerm;
      lease.revoke();
      followedAt.ifPresent(lease::beginAfterTakeover);
      leasedPositions.clear();
      observedPositions.clear();
    }
    primary = Optional.of(id);
    lease.establish(now);
    return true;
  }

  /**
   * Applies the position that a member reported with a reply.
   *
   * @param id the member
   * @param position the position up to which it had applied the log
   * @param sentAt when the statement was sent, in milliseconds
   * @param now the current time in milliseconds
   */
  public void onApplied(MemberId id, Position position, long sentAt, long now) {
    MemberView member = members.get(id);
    if (member == null) {
      return;
    }
    member.onReply();
    member.applied(position);
    observeTerm(position.term());
    if (position.term() != term) {
      return;
    }
    if (!primary.equals(Optional.of(id))) {
      confirmByReplication(member, position, now);
      return;
    }
    observedPositions.observe(sentAt, position);
    if (lease.valid(now)) {
      leasedPositions.observe(sentAt, position);
    }
  }

  /**
   * A replica that has applied an entry written by the primary after a given time was not fenced at
   * that time. Its position therefore confirms the lease without a status request.
   */
  private void confirmByReplication(MemberView replica, Position position, long now) {
    if (newestTerm == term && lease.valid(now)) {
      observedPositions.lastBelow(position).ifPresent(at -> lease.confirm(replica, at, now));
    }
  }

  /**
   * Records that a member could not be reached.
   *
   * @param id the member
   * @param refused whether its address refused the connection
   * @param now the current time in milliseconds
   */
  public void onUnreachable(MemberId id, boolean refused, long now) {
    MemberView member = members.get(id);
    if (member == null) {
      return;
    }
    member.failed(refused, now);
    lease.establish(now);
  }

  /**
   * Whether a member has restarted under another id, which has replied at the same address since.
   */
  boolean replacedAtSameAddress(MemberView member) {
    long lastStatusAt = member.statusRequestedAt().orElse(Long.MIN_VALUE);
    return members.values().stream()
        .filter(other -> !other.id().equals(member.id()) && !other.unreachable())
        .filter(other -> other.entry().address().equals(member.entry().address()))
        .anyMatch(other -> other.statusRequestedAt().orElse(Long.MIN_VALUE) > lastStatusAt);
  }

  private void observeTerm(long seen) {
    if (seen > newestTerm) {
      newestTerm = seen;
      if (newestTerm > term) {
        lease.revoke();
      }
    }
  }

  /**
   * Returns the term of the known primary.
   *
   * @return the term, 0 before a primary is known
   */
  public long term() {
    return term;
  }

  /**
   * Returns the newest term that any member reported.
   *
   * @return the term
   */
  public long newestTerm() {
    return newestTerm;
  }

  /**
   * Returns the known primary, with or without a valid lease.
   *
   * @return the member, or empty if none is known
   */
  public Optional<MemberView> primary() {
    return primary.map(members::get);
  }

  /**
   * Returns the primary if its lease is valid.
   *
   * @param now the current time in milliseconds
   * @return the member, or empty if there is none, its lease has expired, or a newer term is known
   */
  public Optional<MemberView> leasedPrimary(long now) {
    return newestTerm == term && lease.valid(now) ? primary() : Optional.empty();
  }

  /**
   * Returns the lease on the primary and what it rests on.
   *
   * @return the lease
   */
  public ServiceLease lease() {
    return lease;
  }

  /**
   * Returns whether a reply that has just arrived from a member is valid as a reply of the primary.
   *
   * @param id the member
   * @param termAtStart the term at the time when the statement was sent
   * @param now the current time in milliseconds
   * @return true if the same member is still the primary in the same term and its lease is valid
   */
  public boolean holdsPrimaryLease(MemberId id, long termAtStart, long now) {
    return term == termAtStart && leasedPrimary(now).filter(m -> m.id().equals(id)).isPresent();
  }

  /**
   * Returns the remaining time of the lease on the primary.
   *
   * @param now the current time in milliseconds
   * @return milliseconds
   */
  public long leaseMillis(long now) {
    return lease.remainingMillis(now);
  }

  /**
   * Returns the lowest position that a read with bounded staleness must include.
   *
   * @param startedAt when the read arrived, in milliseconds
   * @param maxStalenessMillis the maximum allowed staleness, in milliseconds
   * @return the position, or empty if no recent one is known
   */
  public Optional<Position> minimumPosition(long startedAt, long maxStalenessMillis) {
    return leasedPositions.minimumPosition(startedAt, maxStalenessMillis);
  }

  /**
   * Maps a session's position to the current term. The log contains entries of an older term only
   * up to the position at which the new primary started.
   *
   * @param position the session's position
   * @return the position to require, or empty if no position of the current term is known or the
   *     session's term is newer
   */
  public Optional<Position> mapToCurrentTerm(Position position) {
    if (position.term() == term) {
      return Optional.of(position);
    }
    return position.term() < term ? leasedPositions.first() : Optional.empty();
  }

  /**
   * Updates the time since which no primary with a valid lease is reachable. Has to be called on
   * each tick.
   *
   * @param now the current time in milliseconds
   */
  public void tick(long now) {
    lease.tick(now);
    if (leasedPrimary(now).filter(m -> !m.unreachable()).isPresent()) {
      withoutPrimarySince = OptionalLong.empty();
      departures.values().removeIf(d -> now - d.at() >= DEPARTED_LOG_MILLIS);
    } else if (withoutPrimarySince.isEmpty()) {
      withoutPrimarySince = OptionalLong.of(now);
    }
  }

  /**
   * Returns how long no primary with a valid lease has been reachable.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, 0 if there was one at the last tick
   */
  public long millisWithoutPrimary(long now) {
    return withoutPrimarySince.isPresent() ? now - withoutPrimarySince.getAsLong() : 0;
  }

  /**
   * Returns whether a member is fenced at a higher term than the given one.
   *
   * @param bound the term
   * @return true if the last status of a member says so
   */
  public boolean fencedAbove(long bound) {
    return members.values().stream()
        .anyMatch(m -> m.status().filter(s -> s.fenceTerm() > bound).isPresent());
  }

  /**
   * Returns a member that still reports the primary role at an older term than the known primary's.
   *
   * @return the first such member, or empty if there is none
   */
  public Optional<MemberView> formerPrimary() {
    Iterator<MemberView> all = members.values().iterator();
    while (all.hasNext()) {
      MemberView member = all.next();
      if (member.reportsPrimaryRole() && member.status().orElseThrow().term() < term) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }
}
