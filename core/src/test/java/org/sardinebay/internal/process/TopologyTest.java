package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sardinebay.FailureDomain;

class TopologyTest {
  private static final FailureDomain HERE = new FailureDomain("here");
  private static final FailureDomain NEXT = new FailureDomain("next");
  private static final FailureDomain FAR = new FailureDomain("far");
  private static final FailureDomain UNKNOWN = new FailureDomain("unknown");

  private final Topology topology = new Topology(Map.of(HERE, "r1", NEXT, "r1", FAR, "r2"));

  @Test
  void should_count_the_own_domain_as_nearest_and_other_regions_as_farthest() {
    assertThat(topology.distanceMillis(HERE, HERE)).isLessThan(topology.distanceMillis(HERE, NEXT));
    assertThat(topology.distanceMillis(HERE, NEXT)).isLessThan(topology.distanceMillis(HERE, FAR));
  }

  @Test
  void should_count_a_domain_of_unknown_region_as_far() {
    assertThat(topology.distanceMillis(HERE, UNKNOWN))
        .isEqualTo(topology.distanceMillis(HERE, FAR));
    assertThat(topology.distanceMillis(UNKNOWN, UNKNOWN))
        .isEqualTo(topology.distanceMillis(HERE, HERE));
  }
}
