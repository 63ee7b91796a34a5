package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConnectionQuotaTest {
  private static final int LIMIT = 21;

  private final ConnectionQuota quota = new ConnectionQuota(LIMIT);

  @Test
  void should_always_permit_the_first_connection() {
    quota.onTotalReported(LIMIT);

    assertThat(quota.mayOpen(0, 0)).isTrue();
  }

  @Test
  void should_permit_few_connections_before_the_first_report() {
    assertThat(quota.mayOpen(1, 0)).isTrue();
    assertThat(quota.mayOpen(2, 0)).isFalse();
  }

  @Test
  void should_permit_connections_that_other_hosts_leave_unused() {
    quota.onTotalReported(6);

    assertThat(quota.mayOpen(5, 0)).isTrue();
  }

  @Test
  void should_leave_one_connection_for_each_host_beyond_the_fair_share() {
    quota.hosts(6);
    quota.onTotalReported(14);
    assertThat(quota.mayOpen(3, 0)).isTrue();
    quota.opened();

    assertThat(quota.mayOpen(4, 0)).isFalse();
  }

  @Test
  void should_permit_the_fair_share_until_the_limit_is_reached() {
    quota.hosts(6);
    quota.onTotalReported(LIMIT - 1);
    assertThat(quota.mayOpen(2, 0)).isTrue();
    quota.opened();

    assertThat(quota.mayOpen(2, 0)).isFalse();
    assertThat(quota.needsFreshStatus(2, 0)).isTrue();
  }

  @Test
  void should_never_permit_one_host_half_of_the_limit() {
    quota.onTotalReported(9);

    assertThat(quota.mayOpen(8, 0)).isTrue();
    assertThat(quota.mayOpen(9, 0)).isFalse();
  }

  @Test
  void should_permit_no_connection_for_a_while_after_a_refusal() {
    quota.onTotalReported(5);
    quota.refused(1_000);

    assertThat(quota.mayOpen(1, 1_300)).isFalse();
    assertThat(quota.mayOpen(1, 1_400)).isTrue();
  }

  @Test
  void should_shrink_to_the_fair_share_only_when_the_member_is_nearly_full() {
    quota.hosts(6);
    quota.onTotalReported(10);
    assertThat(quota.shouldShrink(5)).isFalse();
    quota.onTotalReported(18);
    assertThat(quota.shouldShrink(5)).isTrue();
    assertThat(quota.shouldShrink(3)).isFalse();
  }

  /** Guards against a host that closes all its connections beyond the share on one old report. */
  @Test
  void should_shrink_only_until_the_closed_connections_suffice() {
    quota.hosts(6);
    quota.onTotalReported(16);
    assertThat(quota.shouldShrink(8)).isTrue();
    quota.closed();
    quota.closed();

    assertThat(quota.shouldShrink(6)).isFalse();
  }

  @Test
  void should_count_connections_that_are_being_opened() {
    quota.onTotalReported(LIMIT - 3);
    assertThat(quota.mayOpen(1, 1, 0)).isTrue();
    assertThat(quota.mayOpen(1, 3, 0)).isFalse();
  }

  @Nested
  class IdleConnectionsOfWorkspaces {
    @BeforeEach
    void shareWithSixHosts() {
      quota.hosts(6);
    }

    @Test
    void should_stay_while_there_are_enough_connections_for_all_hosts() {
      quota.onTotalReported(14);

      assertThat(quota.maxIdleMillis(9, true)).isEmpty();
    }

    /** Guards against homes that keep a share of connections which other homes would use. */
    @Test
    void should_be_closed_when_unused_for_long_while_few_remain() {
      quota.onTotalReported(15);

      assertThat(quota.maxIdleMillis(2, true)).hasValue(5_000);
      assertThat(quota.maxIdleMillis(2, false)).isEmpty();
    }

    @Test
    void should_be_closed_sooner_beyond_the_fair_share_when_none_remain() {
      quota.onTotalReported(19);

      assertThat(quota.maxIdleMillis(9, true)).hasValue(1_000);
      assertThat(quota.maxIdleMillis(3, true)).hasValue(5_000);
      assertThat(quota.maxIdleMillis(9, false)).hasValue(1_000);
    }

    @Test
    void should_keep_the_last_connection() {
      quota.onTotalReported(LIMIT);

      assertThat(quota.maxIdleMillis(1, true)).isEmpty();
    }
  }
}
