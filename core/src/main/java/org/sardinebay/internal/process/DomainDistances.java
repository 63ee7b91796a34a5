package org.sardinebay.internal.process;

import java.util.Map;
import org.sardinebay.FailureDomain;

/**
 * How far failure domains are from each other.
 *
 * <pre>{@code
 * long millis = distances.distanceMillis(hereDomain, thereDomain);
 * }</pre>
 *
 * @param regions the region of each failure domain
 */
public record DomainDistances(Map<FailureDomain, String> regions) {
  /** A round trip within a failure domain, in milliseconds, rounded up. */
  private static final long SAME_DOMAIN_MILLIS = 1;

  /** A round trip between failure domains of a region, in milliseconds. */
  private static final long SAME_REGION_MILLIS = 2;

  /** A round trip between regions, in milliseconds: the users' network. */
  private static final long OTHER_REGION_MILLIS = 16;

  /** Copies the map. */
  public DomainDistances {
    regions = Map.copyOf(regions);
  }

  /**
   * The usual time of a round trip.
   *
   * @param from a failure domain
   * @param to another, or the same
   * @return milliseconds; domains of unknown regions count as far
   */
  public long distanceMillis(FailureDomain from, FailureDomain to) {
    if (from.equals(to)) {
      return SAME_DOMAIN_MILLIS;
    }
    String region = regions.get(from);
    return region != null && region.equals(regions.get(to))
        ? SAME_REGION_MILLIS
        : OTHER_REGION_MILLIS;
  }
}
