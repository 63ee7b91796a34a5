package org.sardinebay.internal.version;

import java.util.Optional;
import org.sardinebay.Position;

/**
 * Detects that a primary has entries that don't reach a majority although a majority of members
 * follows it. The primary is then cut off from its replicas, and no write can be acknowledged.
 *
 * <pre>{@code
 * boolean cutOff = stall.observe(primaryPosition, majorityPosition, nowMillis);
 * }</pre>
 */
final class ReplicationStall {
  /**
   * How long no entry may reach a majority before the primary is considered cut off, in
   * milliseconds.
   */
  static final long CUT_OFF_AFTER_MILLIS = 1_000;

  private Optional<Position> lastMajorityPosition = Optional.empty();
  private Optional<Long> sinceMillis = Optional.empty();

  /**
   * Records the current positions.
   *
   * @param primaryPosition the primary's last entry; empty if the primary or a majority of
   *     followers isn't replying
   * @param majorityPosition the last entry that a majority confirmed
   * @return whether the primary is cut off
   */
  boolean observe(
      Optional<Position> primaryPosition, Optional<Position> majorityPosition, long nowMillis) {
    boolean ahead =
        primaryPosition.isPresent()
            && primaryPosition.get().compareTo(majorityPosition.orElse(Position.ZERO)) > 0;
    if (!ahead) {
      sinceMillis = Optional.empty();
      return false;
    }
    boolean moved = !majorityPosition.equals(lastMajorityPosition);
    lastMajorityPosition = majorityPosition;
    if (moved || sinceMillis.isEmpty()) {
      sinceMillis = Optional.of(nowMillis);
    }
    return nowMillis - sinceMillis.get() >= CUT_OFF_AFTER_MILLIS;
  }

  /** Returns whether entries are waiting for confirmation by a majority. */
  boolean pending() {
    return sinceMillis.isPresent();
  }
}
