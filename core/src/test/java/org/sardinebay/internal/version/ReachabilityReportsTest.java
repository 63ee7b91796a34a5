package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;

class ReachabilityReportsTest {
  private static final MemberId PRIMARY = new MemberId("m-1");
  private static final MemberId NEXT_PRIMARY = new MemberId("m-2");

  private final ReachabilityReports reports = new ReachabilityReports();

  @BeforeEach
  void askAboutPrimary() {
    assertThat(reports.pollDue(PRIMARY, 0)).isTrue();
  }

  private void recordReplies(int reached, int notReached) {
    for (int i = 0; i < reached + notReached; i++) {
      reports.answered(new HostId("host-" + i), PRIMARY, i < reached, 10);
    }
  }

  @Nested
  class Verdict {
    @Test
    void should_not_keep_a_primary_without_replies() {
      assertThat(reports.primaryReachableElsewhere(PRIMARY, 20)).isFalse();
    }

    @Test
    void should_keep_a_primary_that_most_hosts_reach() {
      recordReplies(4, 1);

      assertThat(reports.primaryReachableElsewhere(PRIMARY, 20)).isTrue();
    }

    @Test
    void should_count_this_host_among_those_that_do_not_reach_the_primary() {
      recordReplies(2, 2);

      assertThat(reports.primaryReachableElsewhere(PRIMARY, 20)).isFalse();
    }

    @Test
    void should_expire_after_two_intervals() {
      recordReplies(5, 0);

      assertThat(
              reports.primaryReachableElsewhere(
                  PRIMARY, 10 + 2 * ReachabilityReports.INTERVAL_MILLIS))
          .isFalse();
    }

    @Test
    void should_not_apply_to_the_next_primary() {
      recordReplies(5, 0);
      reports.pollDue(NEXT_PRIMARY, 100);
      reports.answered(new HostId("host-1"), PRIMARY, true, 110);

      assertThat(reports.primaryReachableElsewhere(NEXT_PRIMARY, 120)).isFalse();
    }
  }

  @Test
  void should_ask_once_in_each_interval() {
    assertThat(reports.pollDue(PRIMARY, ReachabilityReports.INTERVAL_MILLIS - 1)).isFalse();
    assertThat(reports.pollDue(PRIMARY, ReachabilityReports.INTERVAL_MILLIS)).isTrue();
  }
}
