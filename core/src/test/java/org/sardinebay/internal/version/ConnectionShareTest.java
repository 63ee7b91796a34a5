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
    int quotaOfDomain = 0;
    for (int rank = 0; rank < 10; rank++) {
      quotaOfDomain += ConnectionShare.quota(limit, domains, rank);
    }

    assertThat(quotaOfDomain * domains).isLessThanOrEqualTo(limit);
  }

  @Nested
  class QuotaChanges {
    private final ConnectionShare share = new ConnectionShare();

    @Test
    void should_decrease_immediately() {
      share.assign(4, 0);

      share.assign(2, 100);

      assertThat(share.allowed(100)).isEqualTo(2);
    }

    @Test
    void should_increase_only_after_other_proxies_have_drained() {
      share.assign(2, 0);

      share.assign(4, 100);

      assertThat(share.allowed(100 + ConnectionShare.HANDOVER_MILLIS - 1)).isEqualTo(2);
      assertThat(share.allowed(100 + ConnectionShare.HANDOVER_MILLIS)).isEqualTo(4);
    }

    @Test
    void should_use_the_smallest_of_three_quotas_assigned_in_quick_succession() {
      share.assign(4, 0);
      share.assign(0, 100);

      share.assign(4, 200);

      assertThat(share.allowed(300)).isZero();
    }
  }
}
