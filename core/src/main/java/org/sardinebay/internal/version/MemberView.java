package org.sardinebay.internal.version;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;

/** This host's view of one member. */
public final class MemberView {
  /**
   * How long no read that needs a newer position is sent to a member that refused one for lagging,
   * in milliseconds: several round trips between regions.
   */
  private static final long LAGGING_MILLIS = 150;

  private final long knownSince;
  private long registeredSince;
  private MemberEntry entry;
  private Optional<MemberStatus> status = Optional.empty();
  private OptionalLong statusRequestedAt = OptionalLong.empty();
  private Position applied = Position.ZERO;
  private long unreachableSince;
  private boolean unreachable;
  private boolean refusing;
  private OptionalLong laggedAt = OptionalLong.empty();

  MemberView(MemberEntry entry, long now) {
    this.entry = entry;
    this.knownSince = now;
    this.registeredSince = now;
  }

  /** Returns since when this host has known the member, in milliseconds. */
  long knownSince() {
    return knownSince;
  }

  /** Returns whether every driver that lists the members during its change knows this member. */
  boolean knownToDrivers(long now) {
    return now - knownSince >= PrimaryLease.JOINED_MILLIS;
  }

  /**
   * Returns since when every host that follows the registry knows this member. One that has started
   * while the entry was gone has not known it before.
   */
  long knownToAllAt() {
    return registeredSince + PrimaryLease.MEMBERS_KNOWN_MILLIS;
  }

  void update(MemberEntry newer, long now) {
    if (entry.expired() && !newer.expired()) {
      registeredSince = now;
    }
    entry = newer;
  }

  void status(MemberStatus newer, long sentAt) {
    status = Optional.of(newer);
    statusRequestedAt = OptionalLong.of(sentAt);
  }

  void applied(Position position) {
    if (position.term() != applied.term() || position.index() > applied.index()) {
      applied = position;
    }
  }

  /**
   * Records that the member refused a read because it lacked the position.
   *
   * @param now the current time in milliseconds
   */
  public void lagged(long now) {
    laggedAt = OptionalLong.of(now);
  }

  /**
   * Whether the member has just refused a read because it lacked the position.
   *
   * @param now the current time in milliseconds
   * @return true if it probably still lacks positions that it isn't known to have applied
   */
  public boolean lagging(long now) {
    return laggedAt.isPresent() && now - laggedAt.getAsLong() < LAGGING_MILLIS;
  }

  void onReply() {
    unreachable = false;
    refusing = false;
  }

  void failed(boolean refused, long now) {
    if (!unreachable) {
      unreachable = true;
      unreachableSince = now;
    }
    refusing = refused;
  }

  /**
   * Returns the member's id.
   *
   * @return the id
   */
  public MemberId id() {
    return entry.id();
  }

  /**
   * Returns the member's registry entry.
   *
   * @return the latest registered entry
   */
  public MemberEntry entry() {
    return entry;
  }

  /**
   * Returns the member's last reported status.
   *
   * @return the status, or empty if no status request has succeeded
   */
  public Optional<MemberStatus> status() {
    return status;
  }

  /**
   * Returns when the request for the last status was sent.
   *
   * @return the time in milliseconds, or empty if there is no status
   */
  public OptionalLong statusRequestedAt() {
    return statusRequestedAt;
  }

  /**
   * Returns the log position up to which the member is known to have applied entries; reads on it
   * include them.
   *
   * @return the position
   */
  public Position applied() {
    return applied;
  }

  /**
   * Returns whether the member is unreachable.
   *
   * @return true from a failed attempt until the next reply
   */
  public boolean unreachable() {
    return unreachable;
  }

  /**
   * Returns whether the member's address refuses connections. Its process has probably ended, but a
   * partition may refuse connections as well, so other hosts may still reach it.
   *
   * @return true if the last attempt was refused
   */
  public boolean refusing() {
    return unreachable && refusing;
  }

  /**
   * Returns how long the member has been unreachable.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, 0 if it is reachable
   */
  public long unreachableMillis(long now) {
    return unreachable ? now - unreachableSince : 0;
  }

  /** Returns when the last status was requested if that status reported the replica role. */
  OptionalLong lastFollowedAt() {
    boolean follows = status.isPresent() && status.get().role() == MemberRole.REPLICA;
    return follows ? statusRequestedAt : OptionalLong.empty();
  }

  boolean reportsPrimaryRole() {
    return status.isPresent() && status.get().role() == MemberRole.PRIMARY;
  }
}
