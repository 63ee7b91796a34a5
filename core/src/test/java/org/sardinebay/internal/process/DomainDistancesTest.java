package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sardinebay.FailureDomain;

class DomainDistancesTest {
  private static final FailureDomain HERE = new FailureDomain("here");
  private static final FailureDomain NEXT = new FailureDomain("next");
  private static final FailureDomain FAR = new FailureDomain("far");
  private static final FailureDomain UNKNOWN = new FailureDomain("unknown");

  private final DomainDistances distances =
      new DomainDistances(Map.of(HERE, "r1", NEXT, "r1", FAR, "r2"));

  @Test
  void should_treat_the_same_domain_as_nearest_and_other_regions_as_farthest() {
    assertThat(distances.roundTripMillis(HERE, HERE))
        .isLessThan(distances.roundTripMillis(HERE, NEXT));
    assertThat(distances.roundTripMillis(HERE, NEXT))
        .isLessThan(distances.roundTripMillis(HERE, FAR));
  }

  @Test
  void should_treat_a_domain_of_unknown_region_as_remote() {
    assertThat(distances.roundTripMillis(HERE, UNKNOWN))
        .isEqualTo(distances.roundTripMillis(HERE, FAR));
    assertThat(distances.roundTripMillis(UNKNOWN, UNKNOWN))
        .isEqualTo(distances.roundTripMillis(HERE, HERE));
  }
}
