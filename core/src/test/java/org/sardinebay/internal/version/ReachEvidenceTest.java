package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;

class ReachEvidenceTest {
  private static final MemberId PRIMARY = new MemberId("m-1");
  private static final MemberId OTHER = new MemberId("m-2");

  private final ReachEvidence evidence = new ReachEvidence();

  @BeforeEach
  void ask() {
    assertThat(evidence.askNow(PRIMARY, 0)).isTrue();
  }

  private void answers(int reached, int without) {
    for (int i = 0; i < reached + without; i++) {
      evidence.answered(new HostId("host-" + i), PRIMARY, i < reached, 10);
    }
  }

  @Nested
  class Verdict {
    @Test
    void should_not_speak_for_a_primary_without_answers() {
      assertThat(evidence.speaksForPrimary(PRIMARY, 20)).isFalse();
    }

    @Test
    void should_speak_for_one_that_most_hosts_reach() {
      answers(4, 1);

      assertThat(evidence.speaksForPrimary(PRIMARY, 20)).isTrue();
    }

    @Test
    void should_count_this_host_among_those_that_do_not_reach_it() {
      answers(2, 2);

      assertThat(evidence.speaksForPrimary(PRIMARY, 20)).isFalse();
    }

    @Test
    void should_not_hold_for_long() {
      answers(5, 0);

      assertThat(evidence.speaksForPrimary(PRIMARY, 10 + 2 * ReachEvidence.INTERVAL_MILLIS))
          .isFalse();
    }

    @Test
    void should_say_nothing_of_the_next_primary() {
      answers(5, 0);
      evidence.askNow(OTHER, 100);
      evidence.answered(new HostId("host-1"), PRIMARY, true, 110);

      assertThat(evidence.speaksForPrimary(OTHER, 120)).isFalse();
    }
  }

  @Test
  void should_be_asked_for_once_in_each_interval() {
    assertThat(evidence.askNow(PRIMARY, ReachEvidence.INTERVAL_MILLIS - 1)).isFalse();
    assertThat(evidence.askNow(PRIMARY, ReachEvidence.INTERVAL_MILLIS)).isTrue();
  }
}
