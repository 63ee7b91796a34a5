package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.internal.request.Placement;
import org.sardinebay.internal.request.PlacementCandidate;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.session.RouteKind;

class MembersPerformanceTest {
  private static final long SERVICE_MILLIS = 24;

  private static final StatementClass READS =
      new StatementClass(RouteKind.BOUNDED_STALENESS, false);
  private static final MemberId NEAR = new MemberId("near");
  private static final MemberId FAR = new MemberId("far");
  private static final MemberId PRIMARY = new MemberId("primary");

  private final MembersPerformance performance = new MembersPerformance();
  private long now = 1_000;

  private void answer(MemberId member, int count, long millis) {
    for (int i = 0; i < count; i++) {
      now += 20;
      performance.onAnswered(member, READS, millis, now);
    }
  }

  private MembersPerformance.Change fail(MemberId member) {
    now += 20;
    return performance.onFailed(member, 3, now);
  }

  private void setAside(MemberId member) {
    MembersPerformance.Change change = MembersPerformance.Change.NONE;
    for (int i = 0; i < 10 && change == MembersPerformance.Change.NONE; i++) {
      change = fail(member);
    }
    assertThat(change).isEqualTo(MembersPerformance.Change.SET_ASIDE);
  }

  /** Guards against reads that go on queueing at a member that has turned slow. */
  @Nested
  class SlowMembers {
    @Test
    void should_show_within_a_second() {
      answer(NEAR, 100, 26);
      answer(NEAR, 40, 187);
      assertThat(performance.excessMillis(NEAR, READS, now)).isGreaterThan(16);
    }

    @Test
    void should_be_forgotten_without_recent_answers() {
      answer(NEAR, 100, 26);
      answer(NEAR, 50, 187);
      now += 20_000;
      assertThat(performance.excessMillis(NEAR, READS, now)).isLessThan(16);
    }

    @Test
    void should_not_be_seen_in_the_usual_variation() {
      answer(NEAR, 100, 26);
      answer(NEAR, 5, 34);
      assertThat(performance.excessMillis(NEAR, READS, now)).isZero();
    }

    /** Plays 30 reads a second for 8 s, while the near member takes 7 times as long from 1 s on. */
    @Test
    void should_get_few_of_the_reads_of_a_busy_host() {
      Random random = new Random(1);
      List<Long> durations = new ArrayList<>();
      int toSlowMember = 0;
      for (int read = 0; read < 240; read++) {
        now += 33;
        boolean slow = read >= 30;
        MemberId chosen = choose();
        long millis = 15L + random.nextInt(22);
        if (chosen.equals(NEAR) && slow) {
          millis *= 7;
          toSlowMember++;
        }
        performance.onAnswered(chosen, READS, millis, now);
        if (slow) {
          durations.add(millis + (chosen.equals(FAR) ? 16 : 0));
        }
      }
      assertThat(toSlowMember).isLessThan(durations.size() / 4);
      long inTime = durations.stream().filter(millis -> millis <= 150).count();
      assertThat(inTime).isGreaterThan(durations.size() * 3L / 4);
    }

    private MemberId choose() {
      return Placement.choose(
              new PlacementRequirement(false, Optional.empty()),
              List.of(candidate(NEAR, false, 1), candidate(FAR, false, 17)),
              SERVICE_MILLIS)
          .orElseThrow();
    }

    private PlacementCandidate candidate(MemberId member, boolean primary, long roundTripMillis) {
      return new PlacementCandidate(
          member,
          primary,
          true,
          roundTripMillis,
          0,
          0,
          4,
          new Position(1, 1),
          false,
          performance.excessMillis(member, READS, now),
          performance.setAside(member, now));
    }
  }

  /** Guards against members that fail a part of the statements while their health check is good. */
  @Nested
  class FailingMembers {
    @Test
    void should_be_set_aside_after_a_few_errors() {
      answer(NEAR, 6, 26);
      setAside(NEAR);
      assertThat(performance.setAside(NEAR, now)).isTrue();
      assertThat(performance.errorShare(NEAR, now)).isGreaterThan(0.2);
    }

    @Test
    void should_stay_in_use_after_single_errors() {
      answer(NEAR, 20, 26);
      assertThat(fail(NEAR)).isEqualTo(MembersPerformance.Change.NONE);
    }

    @Test
    void should_be_probed_one_statement_at_a_time() {
      setAside(NEAR);
      now += 250;
      assertThat(performance.setAside(NEAR, now)).isFalse();
      performance.onSent(NEAR, now);
      assertThat(performance.setAside(NEAR, now)).isTrue();
    }

    @Test
    void should_return_after_three_good_answers() {
      setAside(NEAR);
      answer(NEAR, 2, 26);
      assertThat(performance.onAnswered(NEAR, READS, 26, now))
          .isEqualTo(MembersPerformance.Change.RETURNED);
      assertThat(performance.setAside(NEAR, now)).isFalse();
    }

    @Test
    void should_never_be_set_aside_when_another_one_of_three_is() {
      setAside(NEAR);
      for (int i = 0; i < 20; i++) {
        assertThat(fail(FAR)).isEqualTo(MembersPerformance.Change.NONE);
        assertThat(fail(PRIMARY)).isEqualTo(MembersPerformance.Change.NONE);
      }
    }

    /** Guards against a new process that is avoided for what its predecessor did. */
    @Test
    void should_begin_without_evidence_after_a_restart() {
      setAside(NEAR);
      performance.remove(NEAR);
      assertThat(performance.setAside(NEAR, now)).isFalse();
      assertThat(performance.errorShare(NEAR, now)).isZero();
    }
  }
}
