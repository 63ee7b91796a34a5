package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.HostId;

/**
 * Remembers which homes (hosts with connections to a service's members) have recently reported that
 * they have no usable primary. Covers a partition that separates some homes from the primary:
 * statements that need the primary go to the other homes first.
 *
 * <pre>{@code
 * absence.reported(service, home, now);
 * boolean skip = absence.recent(service, home, now);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 */
public final class PrimaryAbsence {
  /** How long a report counts, in milliseconds; a promotion takes longer. */
  public static final long VALID_MILLIS = 300;

  private final Map<Key, Long> reportedAt = new HashMap<>();

  private record Key(String service, HostId home) {}

  /**
   * Records that a home has no usable primary.
   *
   * @param service the service
   * @param home the home
   * @param now the current time in milliseconds
   */
  public void reported(String service, HostId home, long now) {
    reportedAt.values().removeIf(at -> now - at >= VALID_MILLIS);
    reportedAt.put(new Key(service, home), now);
  }

  /**
   * Whether a home has recently reported that it has no usable primary.
   *
   * @param service the service
   * @param home the home
   * @param now the current time in milliseconds
   * @return true if the report still counts
   */
  public boolean recent(String service, HostId home, long now) {
    Long at = reportedAt.get(new Key(service, home));
    return at != null && now - at < VALID_MILLIS;
  }
}
