package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;
import org.sardinebay.session.PromotionClient;

class PrimaryChangeTest {
  private static final MemberId PRIMARY = ServiceViewTest.PRIMARY;
  private static final MemberId REPLICA_1 = ServiceViewTest.REPLICA_1;
  private static final MemberId REPLICA_2 = ServiceViewTest.REPLICA_2;
  private static final long LEASE_WAIT_MILLIS =
      PrimaryLease.DURATION_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;

  private final ServiceView view = new ServiceView("orders", 0);
  private final FakeDriverLease lease = new FakeDriverLease();

  @BeforeEach
  void addMembers() {
    view.setMembers(
        List.of(
            ServiceViewTest.entry(PRIMARY, false),
            ServiceViewTest.entry(REPLICA_1, false),
            ServiceViewTest.entry(REPLICA_2, false)),
        ServiceViewTest.REGISTERED_AT);
    view.lease().onMembersKnown(0);
    view.onStatus(PRIMARY, ServiceViewTest.primary(1, 9), 0, 0);
  }

  private PrimaryChange changeFencedAt(long now) {
    view.onUnreachable(PRIMARY, true, 0);
    PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, now);
    change.next(view, now);
    change.onAnnounced(now);
    view.lease().onMembersKnown(now);
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), now);
    change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), now);
    return change;
  }

  @Nested
  class Fencing {
    @Test
    void should_fence_every_member_except_the_old_primary() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);

      assertThat(change.next(view, 100))
          .containsExactly(
              new ChangeStep.Announce(2),
              new ChangeStep.Fence(REPLICA_1, 2),
              new ChangeStep.Fence(REPLICA_2, 2));
    }

    @Test
    void should_fence_a_member_that_replies_again_before_the_order() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
      change.onAnnounced(100);
      view.lease().onMembersKnown(100);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);
      view.onUnreachable(REPLICA_2, true, 100);
      change.next(view, 200);
      view.onStatus(REPLICA_2, ServiceViewTest.replica(1, 7, 0), 1_000, 1_000);

      assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS))
          .contains(new ChangeStep.Fence(REPLICA_2, 2))
          .noneMatch(step -> step instanceof ChangeStep.Promote);
    }

    @Test
    void should_fence_a_member_again_after_a_restart_removed_its_fence() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      view.onStatus(REPLICA_2, ServiceViewTest.replica(1, 8, 0), 900, 900);

      assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS))
          .containsExactly(new ChangeStep.Fence(REPLICA_2, 2));
    }

    @Test
    void should_be_stuck_when_no_member_can_be_fenced() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
      view.onUnreachable(REPLICA_1, false, 100);
      view.onUnreachable(REPLICA_2, false, 100);
      change.next(view, 200);

      assertThat(change.stuck(view, 2_000)).isFalse();
      assertThat(change.stuck(view, 6_000)).isTrue();
    }

    @Test
    void should_demote_a_primary_of_an_older_term_that_can_not_be_fenced() {
      view.onStatus(REPLICA_1, ServiceViewTest.replica(2, 9, 0), 50, 50);
      PrimaryChange change = new PrimaryChange(lease, REPLICA_2, false, false, 2, 3, 100);

      assertThat(change.next(view, 100))
          .contains(new ChangeStep.Demote(PRIMARY, 3), new ChangeStep.Fence(REPLICA_1, 3));
    }

    @Test
    void should_not_count_a_member_that_did_not_accept_the_fence() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);
      change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 7, 0), 100);

      change.next(view, 200);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
    }
  }

  @Nested
  class Ordering {
    @Test
    void should_wait_until_every_lease_has_expired() {
      PrimaryChange change = changeFencedAt(100);

      assertThat(change.next(view, 100)).isEmpty();
      assertThat(change.next(view, 99 + LEASE_WAIT_MILLIS)).isEmpty();
      assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS))
          .containsExactly(new ChangeStep.Promote(REPLICA_2));
    }

    @Test
    void should_return_the_time_until_the_order_is_due() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
      assertThat(change.promotionDueInMillis(view, 100)).isGreaterThan(LEASE_WAIT_MILLIS);

      PrimaryChange waiting = changeFencedAt(100);
      waiting.next(view, 100);
      assertThat(waiting.promotionDueInMillis(view, 300)).isEqualTo(LEASE_WAIT_MILLIS - 200);
      assertThat(waiting.promotionDueInMillis(view, 100 + LEASE_WAIT_MILLIS)).isZero();
    }

    @Test
    void should_choose_the_next_member_if_the_most_advanced_is_not_running() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);
      change.onPromotionOrdered(PromotionClient.Outcome.MEMBER_DOWN, 100 + LEASE_WAIT_MILLIS);

      assertThat(change.next(view, 200 + LEASE_WAIT_MILLIS))
          .containsExactly(new ChangeStep.Promote(REPLICA_1));
    }

    @Test
    void should_request_the_status_of_the_target_when_the_order_got_no_reply() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);
      change.onPromotionOrdered(PromotionClient.Outcome.UNKNOWN, 200 + LEASE_WAIT_MILLIS);

      assertThat(change.next(view, 200 + LEASE_WAIT_MILLIS))
          .containsExactly(new ChangeStep.QueryStatus(REPLICA_2));
    }

    @Test
    void should_be_done_once_the_target_is_primary_of_the_new_term() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);
      change.onPromotionOrdered(PromotionClient.Outcome.ACCEPTED, 200 + LEASE_WAIT_MILLIS);
      view.onStatus(
          REPLICA_2,
          ServiceViewTest.primary(2, 8),
          300 + LEASE_WAIT_MILLIS,
          300 + LEASE_WAIT_MILLIS);

      change.next(view, 300 + LEASE_WAIT_MILLIS);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.DONE);
    }
  }

  @Nested
  class GivingUp {
    @Test
    void should_unfence_every_member() {
      PrimaryChange change = changeFencedAt(100);
      view.onStatus(PRIMARY, ServiceViewTest.primary(1, 9), 120, 120);

      assertThat(change.oldPrimaryBack(view)).isTrue();
      assertThat(change.giveUp(view, 150))
          .containsExactlyInAnyOrder(
              new ChangeStep.Withdraw(1),
              new ChangeStep.Unfence(REPLICA_1),
              new ChangeStep.Unfence(REPLICA_2));
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.GIVEN_UP);
    }

    @Test
    void should_unfence_members_that_an_earlier_driver_left_fenced() {
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 50, 50);
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);

      assertThat(change.giveUp(view, 100))
          .containsExactly(new ChangeStep.Withdraw(1), new ChangeStep.Unfence(REPLICA_1));
    }

    @Test
    void should_not_happen_after_the_order() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);

      assertThat(change.giveUp(view, 200 + LEASE_WAIT_MILLIS)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.ORDERING);
    }
  }

  /**
   * Guards against writes at a replaced primary: a driver whose lease had ended saw the old primary
   * again and lifted the fences of its successor, whose order was about to take effect.
   */
  @Nested
  class WithoutTheDriverLease {
    private PrimaryChange changeWithPrimaryBackAt(long now) {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      view.onStatus(PRIMARY, ServiceViewTest.primary(1, 9), now, now);
      return change;
    }

    @Test
    void should_not_lift_a_fence_after_the_lease_has_ended() {
      lease.end(600);
      PrimaryChange change = changeWithPrimaryBackAt(900);

      assertThat(change.oldPrimaryBack(view)).isTrue();
      assertThat(change.giveUp(view, 900)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.WAITING);
    }

    @Test
    void should_lift_the_fences_once_the_lease_was_renewed_with_the_same_token() {
      lease.end(600);
      PrimaryChange change = changeWithPrimaryBackAt(900);
      change.giveUp(view, 900);
      lease.renew();

      assertThat(change.giveUp(view, 950))
          .containsExactlyInAnyOrder(
              new ChangeStep.Withdraw(1),
              new ChangeStep.Unfence(REPLICA_1),
              new ChangeStep.Unfence(REPLICA_2));
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.GIVEN_UP);
    }

    @Test
    void should_end_the_change_when_another_host_took_the_lease_over() {
      PrimaryChange change = changeWithPrimaryBackAt(900);
      lease.passToAnotherHost();

      assertThat(change.giveUp(view, 900)).isEmpty();
      assertThat(change.next(view, 900)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.SUPERSEDED);
    }

    @Test
    void should_neither_fence_nor_order() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      lease.end(0);

      assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS)).isEmpty();
      assertThat(new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100).next(view, 100))
          .isEmpty();
    }

    @Test
    void should_not_be_stuck_so_that_the_fences_stay() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
      view.onUnreachable(REPLICA_2, false, 100);
      change.next(view, 200);
      lease.end(0);

      assertThat(change.stuck(view, 60_000)).isFalse();
    }
  }

  @Nested
  class OrdersOfUnknownOutcome {
    @Test
    void should_keep_members_fenced_while_the_order_may_still_take_effect() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);
      change.onPromotionOrdered(PromotionClient.Outcome.UNKNOWN, 200 + LEASE_WAIT_MILLIS);
      view.onUnreachable(REPLICA_1, true, 5_000);
      view.onUnreachable(REPLICA_2, true, 5_000);

      assertThat(change.next(view, 10_000)).isEmpty();
      assertThat(change.giveUp(view, 10_000)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.UNCONFIRMED);
    }

    @Test
    void should_keep_fences_of_an_earlier_driver_while_its_order_may_still_take_effect() {
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 50, 50);
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, true, 1, 2, 100);

      assertThat(change.giveUp(view, 2_000)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
      view.onStatus(PRIMARY, ServiceViewTest.primary(1, 9), 2_650, 2_660);
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 2_650, 2_660);
      view.onStatus(REPLICA_2, ServiceViewTest.replica(1, 7, 0), 2_650, 2_660);
      assertThat(change.giveUp(view, 2_700))
          .containsExactly(new ChangeStep.Withdraw(1), new ChangeStep.Unfence(REPLICA_1));
    }

    @Test
    void should_keep_fences_of_an_earlier_driver_while_a_member_may_have_followed_its_order() {
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 50, 50);
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, true, 1, 2, 100);
      view.onStatus(PRIMARY, ServiceViewTest.primary(1, 9), 2_650, 2_660);
      view.onUnreachable(REPLICA_2, true, 2_650);

      assertThat(change.giveUp(view, 2_700)).containsExactly(new ChangeStep.QueryStatus(REPLICA_1));
      assertThat(change.ended()).isFalse();
    }
  }

  /**
   * Guards against two primaries: an order was accepted, only its driver couldn't reach the new
   * primary, and so ordered another member without fences, while other hosts used the first one.
   */
  @Nested
  class TakeoversThatTheDriverDoesNotSee {
    private PrimaryChange changeWithAcceptedOrder() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);
      change.onPromotionOrdered(PromotionClient.Outcome.ACCEPTED, 200 + LEASE_WAIT_MILLIS);
      return change;
    }

    @Test
    void should_not_order_another_member_in_the_same_change() {
      PrimaryChange change = changeWithAcceptedOrder();
      view.onUnreachable(REPLICA_2, false, 2_000);

      for (long now = 2_000; now <= 20_000; now += 50) {
        assertThat(change.next(view, now)).noneMatch(step -> step instanceof ChangeStep.Promote);
      }
      assertThat(change.ended()).isTrue();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.UNCONFIRMED);
    }

    @Test
    void should_fence_and_wait_again_when_the_order_had_no_effect() {
      changeWithAcceptedOrder();
      PrimaryChange next = new PrimaryChange(lease, PRIMARY, false, true, 1, 2, 10_000);
      view.lease().onMembersKnown(10_000);
      next.next(view, 10_000);
      next.onAnnounced(10_000);
      view.lease().onMembersKnown(10_000);
      next.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 10_000);
      next.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), 10_000);
      next.next(view, 10_000);

      assertThat(next.next(view, 9_999 + LEASE_WAIT_MILLIS)).isEmpty();
      assertThat(next.next(view, 10_000 + LEASE_WAIT_MILLIS))
          .containsExactly(new ChangeStep.Promote(REPLICA_2));
    }

    @Test
    void should_end_the_change_when_another_driver_promoted_another_member() {
      PrimaryChange change = changeWithAcceptedOrder();
      view.onStatus(REPLICA_1, ServiceViewTest.primary(2, 8), 2_000, 2_000);

      change.next(view, 2_000);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.SUPERSEDED);
    }
  }

  /**
   * Guards against an order with void fences: another driver's promotion had taken effect at the
   * new term, and its replicas counted as fenced because they reported that term.
   */
  @Nested
  class TermsThatBeginWithoutTheDriver {
    @Test
    void should_not_count_a_member_of_the_new_term_as_fenced() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
      view.onUnreachable(PRIMARY, true, 0);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(2, 9, 0), 100);
      change.onFenced(REPLICA_2, ServiceViewTest.replica(2, 9, 0), 100);

      change.next(view, 200);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
    }

    @Test
    void should_end_the_change_when_a_replica_reports_the_new_term() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      view.onUnreachable(REPLICA_2, false, 200);
      view.onStatus(REPLICA_1, ServiceViewTest.replica(2, 9, 0), 300, 300);

      assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.SUPERSEDED);
    }

    @Test
    void should_fence_again_when_a_fence_was_lifted_before_the_order() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);
      change.onPromotionOrdered(PromotionClient.Outcome.REFUSED, 100 + LEASE_WAIT_MILLIS);
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 7, 0), 3_000, 3_000);

      assertThat(change.next(view, 3_000)).containsExactly(new ChangeStep.Fence(REPLICA_1, 2));
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
    }
  }

  @Nested
  class Planned {
    @Test
    void should_demote_the_old_primary_first() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, true, false, 1, 2, 100);

      assertThat(change.next(view, 100))
          .containsExactly(new ChangeStep.Announce(2), new ChangeStep.Demote(PRIMARY, 2));
    }

    @Test
    void should_fence_only_after_a_delay_for_the_last_commits_to_reach_the_replicas() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, true, false, 1, 2, 100);
      change.next(view, 100);
      change.onAnnounced(105);
      view.lease().onMembersKnown(105);
      view.onStatus(PRIMARY, ServiceViewTest.replica(1, 9, 0), 110, 110);

      assertThat(change.next(view, 120)).isEmpty();
      assertThat(change.next(view, 190))
          .contains(new ChangeStep.Fence(REPLICA_1, 2), new ChangeStep.Fence(REPLICA_2, 2));
    }
  }
}
