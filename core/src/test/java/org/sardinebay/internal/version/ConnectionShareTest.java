package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionShareTest {
  @Property(seed = "42")
  void should_keep_all_ranks_of_all_domains_within_the_limit(
      @ForAll @IntRange(min = 1, max = 500) int limit,
      @ForAll @IntRange(min = 1, max = 8) int domains) {
    int inOneDomain = 0;
    for (int rank = 0; rank < 10; rank++) {
      inOneDomain += ConnectionShare.quota(limit, domains, rank);
    }

    assertThat(inOneDomain * domains).isLessThanOrEqualTo(limit);
  }

  @Nested
  class Changes {
    private final ConnectionShare share = new ConnectionShare();

    @Test
    void should_shrink_at_once() {
      share.assign(4, 0);

      share.assign(2, 100);

      assertThat(share.allowed(100)).isEqualTo(2);
    }

    @Test
    void should_grow_only_after_the_others_have_drained() {
      share.assign(2, 0);

      share.assign(4, 100);

      assertThat(share.allowed(100 + ConnectionShare.HANDOVER_MILLIS - 1)).isEqualTo(2);
      assertThat(share.allowed(100 + ConnectionShare.HANDOVER_MILLIS)).isEqualTo(4);
    }

    @Test
    void should_keep_the_smallest_of_three_quotas_in_a_quick_series() {
      share.assign(4, 0);
      share.assign(0, 100);

      share.assign(4, 200);

      assertThat(share.allowed(300)).isZero();
    }
  }
}
