package org.sardinebay.internal.version;

import java.util.Optional;
import org.sardinebay.Position;

/**
 * Tells that a primary has entries which reach no majority, though a majority of other members is
 * there to follow it: the primary is cut off from its replicas, and no write can be acknowledged.
 *
 * <pre>{@code
 * boolean cutOff = stall.observe(primaryHas, majorityHas, nowMillis);
 * }</pre>
 */
final class ReplicationStall {
  /** How long nothing may reach a majority before the primary counts as cut off. */
  static final long CUT_OFF_AFTER_MILLIS = 1_000;

  private Optional<Position> reached = Optional.empty();
  private Optional<Long> sinceMillis = Optional.empty();

  /**
   * Takes what is known now.
   *
   * @param primaryHas the primary's last entry; empty if the primary or its followers are not there
   * @param majorityHas the last entry that a majority confirmed
   * @return whether the primary is cut off
   */
  boolean observe(Optional<Position> primaryHas, Optional<Position> majorityHas, long nowMillis) {
    boolean ahead =
        primaryHas.isPresent() && primaryHas.get().compareTo(majorityHas.orElse(Position.ZERO)) > 0;
    if (!ahead) {
      sinceMillis = Optional.empty();
      return false;
    }
    boolean moved = !majorityHas.equals(reached);
    reached = majorityHas;
    if (moved || sinceMillis.isEmpty()) {
      sinceMillis = Optional.of(nowMillis);
    }
    return nowMillis - sinceMillis.get() >= CUT_OFF_AFTER_MILLIS;
  }

  /** Whether entries wait for a majority. */
  boolean pending() {
    return sinceMillis.isPresent();
  }
}
