package org.sardinebay.internal.version;

import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;

/** What this host knows of one member. */
public final class MemberView {
  private MemberEntry entry;
  private Optional<MemberStatus> status = Optional.empty();
  private OptionalLong statusAskedAt = OptionalLong.empty();
  private Position applied = Position.ZERO;
  private long failingSince;
  private boolean failing;
  private boolean refusing;

  MemberView(MemberEntry entry) {
    this.entry = entry;
  }

  void update(MemberEntry newer) {
    entry = newer;
  }

  void status(MemberStatus newer, long askedAt) {
    status = Optional.of(newer);
    statusAskedAt = OptionalLong.of(askedAt);
  }

  void applied(Position position) {
    if (position.term() != applied.term() || position.index() > applied.index()) {
      applied = position;
    }
  }

  void answered() {
    failing = false;
    refusing = false;
  }

  void failed(boolean refused, long now) {
    if (!failing) {
      failing = true;
      failingSince = now;
    }
    refusing = refused;
  }

  /**
   * The member's id.
   *
   * @return the id
   */
  public MemberId id() {
    return entry.id();
  }

  /**
   * The member's entry.
   *
   * @return what it registered last
   */
  public MemberEntry entry() {
    return entry;
  }

  /**
   * The member's last status.
   *
   * @return the status, empty if it was never asked with success
   */
  public Optional<MemberStatus> status() {
    return status;
  }

  /**
   * When the last status was asked for.
   *
   * @return the time, empty if never
   */
  public OptionalLong statusAskedAt() {
    return statusAskedAt;
  }

  /**
   * The position up to which the member's reads are known to show the log.
   *
   * @return the position
   */
  public Position applied() {
    return applied;
  }

  /**
   * Whether the member is out of reach.
   *
   * @return true from a failed attempt to the next answer
   */
  public boolean failing() {
    return failing;
  }

  /**
   * Whether the member's address refuses connections: no process of it runs.
   *
   * @return true if the last attempt was refused
   */
  public boolean refusing() {
    return failing && refusing;
  }

  /**
   * Whether the member may take part in a change of primary unseen: it can't be reached, but
   * nothing says that it has ended.
   *
   * @return false if it is in reach, refuses connections, or has lapsed from the registry
   */
  public boolean unaccounted() {
    return failing && !refusing && !entry.lapsed();
  }

  /**
   * How long the member has been out of reach.
   *
   * @param now the time
   * @return milliseconds, 0 if it is in reach
   */
  public long failingMillis(long now) {
    return failing ? now - failingSince : 0;
  }

  /** When the member was last asked, if it said then that it follows. */
  OptionalLong followedAt() {
    boolean follows = status.isPresent() && status.get().role() == MemberRole.REPLICA;
    return follows ? statusAskedAt : OptionalLong.empty();
  }

  boolean claimsToLead() {
    return status.isPresent() && status.get().role() == MemberRole.PRIMARY;
  }
}
