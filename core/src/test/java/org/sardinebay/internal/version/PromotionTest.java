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

  private final PromotionHarness harness = new PromotionHarness();

  @Nested
  class SelectedMember {
    @Test
    void should_be_the_most_advanced_member() {
      harness.member(B).append();

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.promotedMembers()).containsExactly(B);
      assertThat(harness.publishedRecord().start()).contains(new Position(1, 2));
    }

    @Test
    void should_not_be_an_excluded_member_when_the_others_are_a_majority() {
      harness.member(A).append();

      harness.run(PromotionSamples.plan(0, Set.of(A)), "p1");

      assertThat(harness.promotedMembers()).containsExactly(B);
    }

    @Test
    void should_be_an_excluded_member_when_the_others_are_no_majority() {
      harness.member(A).append();
      harness.makeUnreachable(C);

      harness.run(PromotionSamples.plan(0, Set.of(A)), "p1");

      assertThat(harness.promotedMembers()).containsExactly(A);
    }
  }

  @Nested
  class Steps {
    @Test
    void should_make_the_other_members_follow() {
      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(List.of(harness.member(B).role(), harness.member(C).role()))
          .containsOnly(MemberRole.REPLICA);
    }

    @ParameterizedTest
    @EnumSource(names = {"CLAIMING", "FENCING", "PROMOTING", "PUBLISHING"})
    void should_be_completed_by_another_driver_when_the_first_crashes(Promotion.Phase phase) {
      harness.runUntil(PromotionSamples.plan(0, Set.of()), "p1", phase);

      harness.run(PromotionSamples.plan(0, Set.of()), "p2");

      assertThat(harness.publishedRecord().driver()).startsWith("p2#");
      assertThat(harness.publishedRecord().primary()).contains(harness.lastPromotedMember());
    }

    @Test
    void should_promote_no_member_without_a_majority() {
      harness.makeUnreachable(B);
      harness.makeUnreachable(C);

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.promotedMembers()).isEmpty();
      assertThat(harness.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.NO_MAJORITY, 1));
    }

    @Test
    void should_fail_when_a_majority_has_seen_a_newer_term() {
      harness.member(A).handle(new EndpointCall.Fence(9, "other"));
      harness.member(B).handle(new EndpointCall.Fence(9, "other"));

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.OUTBID, 9));
    }

    @Test
    void should_not_promote_another_member_in_the_same_term_when_the_selected_one_does_not_reply() {
      harness.loseReplies(A, EndpointCall.Promote.class, 2);

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.promotedMembers()).containsExactly(A);
      assertThat(harness.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.CANDIDATE_LOST, 1));
    }

    @Test
    void should_repeat_a_promote_call_whose_reply_was_lost() {
      harness.loseReplies(A, EndpointCall.Promote.class, 1);

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.promotedMembers()).containsExactly(A);
      assertThat(harness.publishedRecord().primary()).contains(A);
    }

    @Test
    void should_take_less_than_one_second_when_a_member_is_unreachable() {
      harness.makeUnreachable(A);

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.nowMillis()).isLessThan(1_000);
    }
  }

  @Nested
  class Platform {
    @Test
    void should_recognize_its_own_claim_when_the_reply_was_lost() {
      harness.loseWriteReplies(1);

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.publishedRecord().term()).isEqualTo(1);
    }

    @Test
    void should_recognize_its_own_publication_when_the_reply_was_lost() {
      harness.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.PROMOTING);
      harness.loseWriteReplies(1);

      harness.resume();

      assertThat(harness.outcome()).isInstanceOf(PromotionOutcome.Published.class);
    }

    @Test
    void should_fail_without_fencing_while_the_platform_is_unavailable() {
      harness.makePlatformUnavailable(60_000);

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.outcome())
          .isEqualTo(new PromotionOutcome.Failed(PromotionFailure.PLATFORM_UNAVAILABLE, 0));
      assertThat(harness.member(A).term()).isZero();
    }

    @Test
    void should_promote_in_a_claimed_term_during_an_outage_and_publish_afterwards() {
      harness.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.FENCING);
      harness.makePlatformUnavailable(20_000);

      harness.resume();

      assertThat(harness.promotedMillis()).isLessThan(1_000);
      assertThat(harness.nowMillis()).isGreaterThan(20_000);
      assertThat(harness.publishedRecord().primary()).contains(A);
    }
  }

  @Nested
  class OtherDrivers {
    @Test
    void should_keep_their_claim_until_the_takeover_delay_has_elapsed() {
      harness.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.FENCING);
      long claimedMillis = harness.nowMillis();

      harness.run(PromotionSamples.plan(0, Set.of()), "p2");

      assertThat(harness.promotedMillis() - claimedMillis)
          .isGreaterThanOrEqualTo(Promotion.TAKEOVER_AFTER_MILLIS);
      assertThat(harness.publishedRecord().term()).isEqualTo(2);
    }

    @Test
    void should_not_delay_a_promotion_when_the_claim_is_of_the_same_process() {
      harness.runUntil(PromotionSamples.plan(0, Set.of()), "p1", Promotion.Phase.FENCING);

      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      assertThat(harness.promotedMillis()).isLessThan(Promotion.TAKEOVER_AFTER_MILLIS);
    }

    @Test
    void should_not_be_overridden_when_they_have_published_a_newer_term() {
      harness.run(PromotionSamples.plan(0, Set.of()), "p1");

      harness.run(PromotionSamples.plan(0, Set.of()), "p2");

      assertThat(harness.outcome()).isInstanceOf(PromotionOutcome.Superseded.class);
      assertThat(harness.promotedMembers()).containsExactly(A);
    }
  }
}
