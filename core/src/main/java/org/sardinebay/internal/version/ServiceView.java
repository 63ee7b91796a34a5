package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;

/**
 * What this host believes of one service: its members, its primary and the primary's lease.
 *
 * <pre>{@code
 * view.onStatus(member, status, askedAt);
 * Optional<MemberView> primary = view.usablePrimary(now);
 * }</pre>
 *
 * <p>Not thread-safe: its owner's loop guards it.
 */
public final class ServiceView {
  /**
   * How long a member that vanished may still lead unseen, and a member that seems alone may not
   * be, in milliseconds: entries lapse and come back within some seconds of an outage.
   */
  public static final long VANISHED_MILLIS = 10_000;

  private final String service;
  private final Map<MemberId, MemberView> members = new LinkedHashMap<>();
  private final PrimaryLease lease = new PrimaryLease();

  /** What the primary held while its lease was valid: the ground for ages of reads. */
  private final PositionFloor floor = new PositionFloor();

  /** What the primary held, with or without a lease: the ground for dating what replicas show. */
  private final PositionFloor history = new PositionFloor();

  private final Map<MemberId, Long> vanishedAt = new HashMap<>();
  private long aloneSince;
  private Optional<MemberId> primary = Optional.empty();
  private long term;
  private long newestTerm;
  private OptionalLong unusableSince;

  /**
   * A service of which nothing is known.
   *
   * @param service its name
   * @param now the time
   */
  public ServiceView(String service, long now) {
    this.service = service;
    this.unusableSince = OptionalLong.of(now);
    this.aloneSince = now;
  }

  /**
   * The service's name.
   *
   * @return the name
   */
  public String service() {
    return service;
  }

  /**
   * Takes over the registered members.
   *
   * @param entries one for each member
   * @param now the time
   */
  public void setMembers(Collection<MemberEntry> entries, long now) {
    Set<MemberId> ids = entries.stream().map(MemberEntry::id).collect(Collectors.toSet());
    for (MemberView known : members.values()) {
      boolean replaced =
          entries.stream().anyMatch(entry -> entry.address().equals(known.entry().address()));
      if (!ids.contains(known.id()) && !known.entry().draining() && !replaced) {
        vanishedAt.put(known.id(), now);
      }
    }
    vanishedAt.keySet().removeAll(ids);
    if (ids.size() != 1) {
      aloneSince = now;
    }
    members.keySet().retainAll(ids);
    for (MemberEntry entry : entries) {
      MemberView known = members.get(entry.id());
      if (known == null || !known.entry().sameIncarnation(entry)) {
        members.put(entry.id(), new MemberView(entry));
      } else {
        known.update(entry);
      }
    }
    if (primary.isPresent() && !members.containsKey(primary.get())) {
      primary = Optional.empty();
    }
  }

  /**
   * The members.
   *
   * @return a live view
   */
  public Collection<MemberView> members() {
    return members.values();
  }

  /**
   * Finds a member.
   *
   * @param id its id
   * @return the member, empty if it is not registered
   */
  public Optional<MemberView> member(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  /**
   * Takes over what a member says of itself.
   *
   * @param id the member
   * @param status what it says
   * @param askedAt when it was asked
   * @param now the time
   * @return whether the primary or the term changed
   */
  public boolean onStatus(MemberId id, MemberStatus status, long askedAt, long now) {
    MemberView member = members.get(id);
    if (member == null) {
      return false;
    }
    member.answered();
    OptionalLong followedAt = member.followedAt();
    member.status(status, askedAt);
    noteTerm(status.term());
    if (status.role() == MemberRole.PRIMARY) {
      return onPrimary(id, status.term(), followedAt, now);
    }
    if (status.fenceTerm() > term) {
      lease.revoke();
    } else if (status.term() <= term && newestTerm == term) {
      lease.confirm(id, askedAt, now);
      establishLease(now);
    }
    if (primary.equals(Optional.of(id))) {
      primary = Optional.empty();
      lease.revoke();
      return true;
    }
    return false;
  }

  private boolean onPrimary(MemberId id, long primaryTerm, OptionalLong followedAt, long now) {
    if (primaryTerm < term || (primaryTerm == term && primary.equals(Optional.of(id)))) {
      return false;
    }
    if (primaryTerm > term) {
      term = primaryTerm;
      lease.revoke();
      followedAt.ifPresent(lease::beginAfterTakeover);
      floor.clear();
      history.clear();
    }
    primary = Optional.of(id);
    establishLease(now);
    return true;
  }

  /**
   * Takes over the position that a member named after an answer.
   *
   * @param id the member
   * @param position up to where it had applied the log
   * @param askedAt when the statement was sent
   * @param now the time
   */
  public void onApplied(MemberId id, Position position, long askedAt, long now) {
    MemberView member = members.get(id);
    if (member == null) {
      return;
    }
    member.answered();
    member.applied(position);
    noteTerm(position.term());
    if (position.term() != term) {
      return;
    }
    if (!primary.equals(Optional.of(id))) {
      confirmByReplication(id, position, now);
      return;
    }
    history.observe(askedAt, position);
    if (lease.valid(now)) {
      floor.observe(askedAt, position);
    }
  }

  /**
   * A replica that shows what the primary wrote after a moment was not fenced at that moment: it
   * confirms the lease without being asked.
   */
  private void confirmByReplication(MemberId replica, Position position, long now) {
    if (newestTerm == term && lease.valid(now)) {
      history.lastBelow(position).ifPresent(at -> lease.confirm(replica, at, now));
    }
  }

  /**
   * Notes that a member could not be reached.
   *
   * @param id the member
   * @param refused whether its address refused the connection
   * @param now the time
   */
  public void onUnreachable(MemberId id, boolean refused, long now) {
    MemberView member = members.get(id);
    if (member == null) {
      return;
    }
    member.failed(refused, now);
    if (refused) {
      lease.noteNotRunning(id, now);
    }
    establishLease(now);
  }

  /**
   * One that is leaving is never ordered to lead: it does not have to be seen unfenced. One whose
   * entry has just vanished may lead.
   */
  private void establishLease(long now) {
    boolean alone = members.size() == 1 && now - aloneSince < VANISHED_MILLIS;
    if (primary.isEmpty() || newestTerm != term || alone) {
      return;
    }
    vanishedAt.values().removeIf(at -> now - at >= VANISHED_MILLIS);
    List<MemberId> others = new ArrayList<>(vanishedAt.keySet());
    others.addAll(othersThatMayLead());
    lease.establish(others, now);
  }

  private List<MemberId> othersThatMayLead() {
    return members.values().stream()
        .filter(m -> !primary.equals(Optional.of(m.id())))
        .filter(m -> !(m.entry().draining() && m.failing()))
        .filter(m -> !superseded(m))
        .map(MemberView::id)
        .toList();
  }

  /** A member that started again under another id: that one answers at its address since. */
  private boolean superseded(MemberView member) {
    long heard = member.statusAskedAt().orElse(Long.MIN_VALUE);
    return members.values().stream()
        .filter(other -> !other.id().equals(member.id()) && !other.failing())
        .filter(other -> other.entry().address().equals(member.entry().address()))
        .anyMatch(other -> other.statusAskedAt().orElse(Long.MIN_VALUE) > heard);
  }

  private void noteTerm(long seen) {
    if (seen > newestTerm) {
      newestTerm = seen;
      if (newestTerm > term) {
        lease.revoke();
      }
    }
  }

  /**
   * The term of the believed primary.
   *
   * @return the term, 0 before the first primary is known
   */
  public long term() {
    return term;
  }

  /**
   * The newest term that any member named.
   *
   * @return the term
   */
  public long newestTerm() {
    return newestTerm;
  }

  /**
   * The believed primary, with or without a lease.
   *
   * @return the member, empty if none is known
   */
  public Optional<MemberView> primary() {
    return primary.map(members::get);
  }

  /**
   * The primary, if it may be relied upon now.
   *
   * @param now the time
   * @return the member, empty if there is none or its lease has run out
   */
  public Optional<MemberView> usablePrimary(long now) {
    return newestTerm == term && lease.valid(now) ? primary() : Optional.empty();
  }

  /**
   * Whether an answer that has just arrived from a member may be relied upon as the primary's.
   *
   * @param id the member
   * @param termAtStart the term when the statement was sent
   * @param now the time
   * @return true if the same member still leads
   */
  public boolean stillLeads(MemberId id, long termAtStart, long now) {
    return term == termAtStart && usablePrimary(now).filter(m -> m.id().equals(id)).isPresent();
  }

  /**
   * How long the primary may still be relied upon.
   *
   * @param now the time
   * @return milliseconds
   */
  public long leaseMillis(long now) {
    return lease.remainingMillis(now);
  }

  /**
   * The least position that a read of bounded age must show.
   *
   * @param startedAt when the read arrived
   * @param maxStalenessMillis the age allowed
   * @return the position, empty if no recent one is known
   */
  public Optional<Position> floor(long startedAt, long maxStalenessMillis) {
    return floor.atMostOld(startedAt, maxStalenessMillis);
  }

  /**
   * Raises a position of a session to this term: what an older term wrote is on the log only up to
   * where the new primary began.
   *
   * @param position the session's position
   * @return the position to ask for, empty if this term's log is not known well enough
   */
  public Optional<Position> inThisTerm(Position position) {
    if (position.term() == term) {
      return Optional.of(position);
    }
    return position.term() < term ? floor.first() : Optional.empty();
  }

  /**
   * Notes the time: since when no primary can be relied upon is counted from tick to tick.
   *
   * @param now the time
   */
  public void tick(long now) {
    if (usablePrimary(now).filter(m -> !m.failing()).isPresent()) {
      unusableSince = OptionalLong.empty();
    } else if (unusableSince.isEmpty()) {
      unusableSince = OptionalLong.of(now);
    }
  }

  /**
   * How long no primary could be relied upon.
   *
   * @param now the time
   * @return milliseconds, 0 if one could at the last tick
   */
  public long unusableMillis(long now) {
    return unusableSince.isPresent() ? now - unusableSince.getAsLong() : 0;
  }

  /**
   * Whether a member is fenced above a term.
   *
   * @param bound the term
   * @return true if a member said so last
   */
  public boolean fencedAbove(long bound) {
    return members.values().stream()
        .anyMatch(m -> m.status().filter(s -> s.fenceTerm() > bound).isPresent());
  }

  /**
   * Members other than the believed primary that say they lead, at an older term.
   *
   * @return the first of them
   */
  public Optional<MemberView> formerPrimary() {
    Iterator<MemberView> all = members.values().iterator();
    while (all.hasNext()) {
      MemberView member = all.next();
      if (member.claimsToLead() && member.status().orElseThrow().term() < term) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }
}
