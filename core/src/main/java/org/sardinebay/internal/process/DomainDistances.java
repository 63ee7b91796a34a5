package org.sardinebay.internal.process;

import java.util.Map;
import org.sardinebay.FailureDomain;

/**
 * The round-trip times between failure domains.
 *
 * <pre>{@code
 * long millis = distances.roundTripMillis(hereDomain, thereDomain);
 * }</pre>
 *
 * @param regions the region that each failure domain belongs to
 */
public record DomainDistances(Map<FailureDomain, String> regions) {
  /** The round-trip time within a failure domain, in milliseconds, rounded up. */
  private static final long SAME_DOMAIN_MILLIS = 1;

  /** The round-trip time between failure domains of the same region, in milliseconds. */
  private static final long SAME_REGION_MILLIS = 2;

  /** The round-trip time between regions in the network that users run, in milliseconds. */
  private static final long OTHER_REGION_MILLIS = 16;

  /** Copies the map. */
  public DomainDistances {
    regions = Map.copyOf(regions);
  }

  /**
   * The typical round-trip time between two failure domains.
   *
   * @param from a failure domain
   * @param to another failure domain, or the same one
   * @return the round-trip time in milliseconds; a domain of unknown region is taken to be in
   *     another region
   */
  public long roundTripMillis(FailureDomain from, FailureDomain to) {
    if (from.equals(to)) {
      return SAME_DOMAIN_MILLIS;
    }
    String region = regions.get(from);
    return region != null && region.equals(regions.get(to))
        ? SAME_REGION_MILLIS
        : OTHER_REGION_MILLIS;
  }
}
