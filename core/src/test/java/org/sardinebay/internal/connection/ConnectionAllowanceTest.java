package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConnectionAllowanceTest {
  private static final int LIMIT = 21;

  private final ConnectionAllowance allowance = new ConnectionAllowance(LIMIT);

  @Test
  void should_always_permit_the_first_connection() {
    allowance.reported(LIMIT);

    assertThat(allowance.permits(0, 0)).isTrue();
  }

  @Test
  void should_permit_few_connections_before_the_first_report() {
    assertThat(allowance.permits(1, 0)).isTrue();
    assertThat(allowance.permits(2, 0)).isFalse();
  }

  @Test
  void should_permit_connections_that_other_hosts_leave_unused() {
    allowance.reported(6);

    assertThat(allowance.permits(5, 0)).isTrue();
  }

  @Test
  void should_leave_one_connection_for_each_host_beyond_the_fair_share() {
    allowance.hosts(6);
    allowance.reported(14);
    assertThat(allowance.permits(3, 0)).isTrue();
    allowance.opened();

    assertThat(allowance.permits(4, 0)).isFalse();
  }

  @Test
  void should_permit_the_fair_share_until_the_limit_is_reached() {
    allowance.hosts(6);
    allowance.reported(LIMIT - 1);
    assertThat(allowance.permits(2, 0)).isTrue();
    allowance.opened();

    assertThat(allowance.permits(2, 0)).isFalse();
    assertThat(allowance.waitsForReport(2, 0)).isTrue();
  }

  @Test
  void should_never_permit_one_host_half_of_the_limit() {
    allowance.reported(9);

    assertThat(allowance.permits(8, 0)).isTrue();
    assertThat(allowance.permits(9, 0)).isFalse();
  }

  @Test
  void should_permit_no_connection_for_a_while_after_a_refusal() {
    allowance.reported(5);
    allowance.refused(1_000);

    assertThat(allowance.permits(1, 1_300)).isFalse();
    assertThat(allowance.permits(1, 1_400)).isTrue();
  }

  @Test
  void should_shrink_to_the_fair_share_only_when_the_member_is_nearly_full() {
    allowance.hosts(6);
    allowance.reported(10);
    assertThat(allowance.shouldShrink(5)).isFalse();
    allowance.reported(18);
    assertThat(allowance.shouldShrink(5)).isTrue();
    assertThat(allowance.shouldShrink(3)).isFalse();
  }
}
