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
  void queryAboutPrimary() {
    assertThat(reports.queryDue(PRIMARY, 0)).isTrue();
  }

  private void recordReplies(int reached, int notReached) {
    for (int i = 0; i < reached + notReached; i++) {
      reports.onReply(new HostId("host-" + i), PRIMARY, i < reached, 10);
    }
  }

  @Nested
  class PrimaryReachableElsewhere {
    @Test
    void should_be_false_without_replies() {
      assertThat(reports.reachedElsewhere(PRIMARY, 20)).isFalse();
    }

    @Test
    void should_be_true_when_most_hosts_reach_the_primary() {
      recordReplies(4, 1);

      assertThat(reports.reachedElsewhere(PRIMARY, 20)).isTrue();
    }

    @Test
    void should_count_this_host_as_one_that_does_not_reach_the_primary() {
      recordReplies(2, 2);

      assertThat(reports.reachedElsewhere(PRIMARY, 20)).isFalse();
    }

    @Test
    void should_be_false_once_the_replies_are_two_intervals_old() {
      recordReplies(5, 0);

      assertThat(reports.reachedElsewhere(PRIMARY, 10 + 2 * ReachabilityReports.INTERVAL_MILLIS))
          .isFalse();
    }

    @Test
    void should_be_false_when_the_replies_are_about_an_earlier_primary() {
      recordReplies(5, 0);
      reports.queryDue(NEXT_PRIMARY, 100);
      reports.onReply(new HostId("host-1"), PRIMARY, true, 110);

      assertThat(reports.reachedElsewhere(NEXT_PRIMARY, 120)).isFalse();
    }
  }

  @Test
  void should_query_once_in_each_interval() {
    assertThat(reports.queryDue(PRIMARY, ReachabilityReports.INTERVAL_MILLIS - 1)).isFalse();
    assertThat(reports.queryDue(PRIMARY, ReachabilityReports.INTERVAL_MILLIS)).isTrue();
  }
}
