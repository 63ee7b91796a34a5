package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.MemberRole;

class PromotionTest {
  private static final MemberId A = PromotionSamples.member(0);
  private static final MemberId B = PromotionSamples.member(1);
  private static final MemberId C = PromotionSamples.member(2);

  private final PromotionBench bench = new PromotionBench();

  @Nested
  class Choice {
    @Test
    void should_be_the_most_advanced_member() {
      bench.member(B).append();

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.leaders()).containsExactly(B);
      assertThat(bench.published().start()).contains(new Position(1, 2));
    }

    @Test
    void should_pass_over_a_leaving_member_when_the_others_are_a_majority() {
      bench.member(A).append();

      bench.run(PromotionSamples.plan(0, Set.of(A)), "p1");

      assertThat(bench.leaders()).containsExactly(B);
    }

    @Test
    void should_keep_a_leaving_member_when_the_others_are_no_majority() {
      bench.member(A).append();
      bench.down(C);

      bench.run(PromotionSamples.plan(0, Set.of(A)), "p1");

      assertThat(bench.leaders()).containsExactly(A);
    }
  }

  @Nested
  class Steps {
    @Test
    void should_make_the_other_members_follow() {
      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(List.of(bench.member(B).role(), bench.member(C).role()))
          .containsOnly(MemberRole.REPLICA);
    }

    @ParameterizedTest
    @EnumSource(names = {"CLAIMING", "FENCING", "PROMOTING", "PUBLISHING"})
    void should_be_finished_by_another_driver_when_the_first_dies(Promotion.Phase phase) {
      bench.runUntil(PromotionSamples.plan(0, Set.of()), "p1", phase);

      bench.run(PromotionSamples.plan(0, Set.of()), "p2");

      assertThat(bench.published().driver()).startsWith("p2#");
      assertThat(bench.published().primary()).contains(bench.newestLeader());
    }

    @Test
    void should_claim_nothing_and_promote_nobody_without_a_majority() {
      bench.down(B);
      bench.down(C);

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.leaders()).isEmpty();
      assertThat(bench.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.NO_MAJORITY, 1));
    }

    @Test
    void should_give_up_when_a_majority_has_seen_a_newer_term() {
      bench.member(A).take(new EndpointCall.Fence(9, "other"));
      bench.member(B).take(new EndpointCall.Fence(9, "other"));

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.OUTBID, 9));
    }

    @Test
    void should_not_promote_another_member_in_the_same_term_when_the_chosen_one_is_lost() {
      bench.loseReplies(A, EndpointCall.Promote.class, 2);

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.leaders()).containsExactly(A);
      assertThat(bench.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.CANDIDATE_LOST, 1));
    }

    @Test
    void should_repeat_a_promotion_whose_answer_was_lost() {
      bench.loseReplies(A, EndpointCall.Promote.class, 1);

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.leaders()).containsExactly(A);
      assertThat(bench.published().primary()).contains(A);
    }

    @Test
    void should_take_well_below_two_and_a_half_seconds_when_a_member_is_cut_off() {
      bench.down(A);

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.nowMillis()).isLessThan(1_000);
    }
  }

  @Nested
  class Platform {
    @Test
    void should_recognise_its_own_claim_when_the_answer_was_lost() {
      bench.loseWriteAnswers(1);

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.published().term()).isEqualTo(1);
    }

    @Test
    void should_recognise_its_own_publication_when_the_answer_was_lost() {
      bench.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.PROMOTING);
      bench.loseWriteAnswers(1);

      bench.resume();

      assertThat(bench.outcome()).isInstanceOf(PromotionOutcome.Published.class);
    }

    @Test
    void should_start_nothing_while_the_platform_is_down() {
      bench.platformDown(60_000);

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.PLATFORM_UNAVAILABLE, 0));
      assertThat(bench.member(A).term()).isZero();
    }

    @Test
    void should_carry_a_claimed_term_through_an_outage_and_publish_it_later() {
      bench.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.FENCING);
      bench.platformDown(20_000);

      bench.resume();

      assertThat(bench.promotedMillis()).isLessThan(1_000);
      assertThat(bench.nowMillis()).isGreaterThan(20_000);
      assertThat(bench.published().primary()).contains(A);
    }
  }

  @Nested
  class OtherDrivers {
    @Test
    void should_be_left_to_finish_while_their_claim_is_young() {
      bench.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.FENCING);
      long claimedMillis = bench.nowMillis();

      bench.run(PromotionSamples.plan(0, Set.of()), "p2");

      assertThat(bench.promotedMillis() - claimedMillis)
          .isGreaterThanOrEqualTo(Promotion.TAKEOVER_AFTER_MILLIS);
      assertThat(bench.published().term()).isEqualTo(2);
    }

    @Test
    void should_not_hold_up_a_later_attempt_of_the_same_process() {
      bench.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.FENCING);

      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(bench.promotedMillis()).isLessThan(Promotion.TAKEOVER_AFTER_MILLIS);
    }

    @Test
    void should_not_be_overridden_when_they_have_published_a_newer_term() {
      bench.run(PromotionSamples.plan(0, Set.of()), "p1");

      bench.run(PromotionSamples.plan(0, Set.of()), "p2");

      assertThat(bench.outcome()).isInstanceOf(PromotionOutcome.Superseded.class);
      assertThat(bench.leaders()).containsExactly(A);
    }
  }
}
