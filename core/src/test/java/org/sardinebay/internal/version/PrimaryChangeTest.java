package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;
import org.sardinebay.session.PromotionCall;

class PrimaryChangeTest {
  private static final MemberId LEADER = ServiceViewTest.LEADER;
  private static final MemberId NEAR = ServiceViewTest.NEAR;
  private static final MemberId FAR = ServiceViewTest.FAR;
  private static final long LEASE_WAIT =
      PrimaryLease.DURATION_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;

  private final ServiceView view = new ServiceView("orders", 0);

  @BeforeEach
  void addMembers() {
    view.setMembers(
        List.of(
            ServiceViewTest.entry(LEADER, false),
            ServiceViewTest.entry(NEAR, false),
            ServiceViewTest.entry(FAR, false)),
        0);
    view.onStatus(LEADER, ServiceViewTest.primary(1, 9), 0, 0);
  }

  private PrimaryChange fencedAt(long now) {
    view.onUnreachable(LEADER, true, 0);
    PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, now);
    change.next(view, now);
    change.onFenced(NEAR, ServiceViewTest.replica(1, 7, 2), now);
    change.onFenced(FAR, ServiceViewTest.replica(1, 8, 2), now);
    return change;
  }

  private void lapse(MemberId gone) {
    view.setMembers(
        Stream.of(LEADER, NEAR, FAR)
            .map(id -> ServiceViewTest.entry(id, false))
            .map(entry -> entry.id().equals(gone) ? entry.lapse() : entry)
            .toList(),
        150);
  }

  @Nested
  class Fencing {
    @Test
    void should_fence_every_member_but_the_old_primary() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);

      assertThat(change.next(view, 100))
          .containsExactly(
              new PrimaryChange.Step.Fence(NEAR, 2), new PrimaryChange.Step.Fence(FAR, 2));
    }

    @Test
    void should_wait_for_a_silent_member_that_other_hosts_may_reach() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);
      change.onFenced(NEAR, ServiceViewTest.replica(1, 7, 2), 100);
      view.onUnreachable(FAR, false, 100);

      change.next(view, 60_000);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
    }

    @Test
    void should_leave_out_a_silent_member_whose_entry_has_lapsed() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);
      change.onFenced(NEAR, ServiceViewTest.replica(1, 7, 2), 100);
      view.onUnreachable(FAR, false, 100);
      lapse(FAR);

      change.next(view, 200);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.WAITING);
    }

    @Test
    void should_leave_out_a_member_that_refuses_connections() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);
      change.onFenced(NEAR, ServiceViewTest.replica(1, 7, 2), 100);
      view.onUnreachable(FAR, true, 100);

      change.next(view, 200);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.WAITING);
    }

    @Test
    void should_fence_a_member_that_is_back_before_the_order() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);
      change.onFenced(NEAR, ServiceViewTest.replica(1, 7, 2), 100);
      view.onUnreachable(FAR, true, 100);
      change.next(view, 200);
      view.onStatus(FAR, ServiceViewTest.replica(1, 7, 0), 1_000, 1_000);

      assertThat(change.next(view, 100 + LEASE_WAIT))
          .contains(new PrimaryChange.Step.Fence(FAR, 2))
          .noneMatch(step -> step instanceof PrimaryChange.Step.Order);
    }

    @Test
    void should_fence_again_a_member_that_lost_its_fence_by_a_restart() {
      PrimaryChange change = fencedAt(100);
      change.next(view, 100);
      view.onStatus(FAR, ServiceViewTest.replica(1, 8, 0), 900, 900);

      assertThat(change.next(view, 100 + LEASE_WAIT))
          .containsExactly(new PrimaryChange.Step.Fence(FAR, 2));
    }

    @Test
    void should_be_handed_over_when_a_member_stays_out_of_reach() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);
      change.onFenced(NEAR, ServiceViewTest.replica(1, 7, 2), 100);
      view.onUnreachable(FAR, false, 100);
      change.next(view, 200);

      assertThat(change.stuck(view, 2_000)).isFalse();
      assertThat(change.stuck(view, 6_000)).isTrue();
    }

    @Test
    void should_not_take_a_member_that_did_not_accept_the_fence() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);
      change.onFenced(NEAR, ServiceViewTest.replica(1, 7, 2), 100);
      change.onFenced(FAR, ServiceViewTest.replica(1, 7, 0), 100);

      change.next(view, 200);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
    }
  }

  @Nested
  class Ordering {
    @Test
    void should_not_order_before_every_lease_has_run_out() {
      PrimaryChange change = fencedAt(100);

      assertThat(change.next(view, 100)).isEmpty();
      assertThat(change.next(view, 99 + LEASE_WAIT)).isEmpty();
      assertThat(change.next(view, 100 + LEASE_WAIT))
          .containsExactly(new PrimaryChange.Step.Order(FAR));
    }

    @Test
    void should_say_how_long_the_order_has_to_wait() {
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);
      assertThat(change.orderDueInMillis(100)).isGreaterThan(LEASE_WAIT);

      PrimaryChange waiting = fencedAt(100);
      waiting.next(view, 100);
      assertThat(waiting.orderDueInMillis(300)).isEqualTo(LEASE_WAIT - 200);
      assertThat(waiting.orderDueInMillis(100 + LEASE_WAIT)).isZero();
    }

    @Test
    void should_choose_the_next_member_if_the_most_advanced_is_not_running() {
      PrimaryChange change = fencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT);
      change.onOrdered(PromotionCall.Outcome.MEMBER_DOWN, 100 + LEASE_WAIT);

      assertThat(change.next(view, 200 + LEASE_WAIT))
          .containsExactly(new PrimaryChange.Step.Order(NEAR));
    }

    @Test
    void should_look_at_the_target_when_the_order_got_no_answer() {
      PrimaryChange change = fencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT);
      change.onOrdered(PromotionCall.Outcome.UNKNOWN, 200 + LEASE_WAIT);

      assertThat(change.next(view, 200 + LEASE_WAIT))
          .containsExactly(new PrimaryChange.Step.Look(FAR));
    }

    @Test
    void should_be_done_when_the_target_leads_the_new_term() {
      PrimaryChange change = fencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT);
      change.onOrdered(PromotionCall.Outcome.ACCEPTED, 200 + LEASE_WAIT);
      view.onStatus(FAR, ServiceViewTest.primary(2, 8), 300 + LEASE_WAIT, 300 + LEASE_WAIT);

      change.next(view, 300 + LEASE_WAIT);
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.DONE);
    }
  }

  @Nested
  class GivingUp {
    @Test
    void should_lift_every_fence() {
      PrimaryChange change = fencedAt(100);

      assertThat(change.revocable()).isTrue();
      assertThat(change.giveUp(view, 150))
          .containsExactlyInAnyOrder(
              new PrimaryChange.Step.Unfence(NEAR), new PrimaryChange.Step.Unfence(FAR));
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.GIVEN_UP);
    }

    @Test
    void should_lift_fences_that_an_earlier_driver_left_behind() {
      view.onStatus(NEAR, ServiceViewTest.replica(1, 7, 2), 50, 50);
      PrimaryChange change = new PrimaryChange(LEADER, false, false, 2, 100);

      assertThat(change.giveUp(view, 100)).containsExactly(new PrimaryChange.Step.Unfence(NEAR));
    }

    @Test
    void should_not_happen_after_the_order() {
      PrimaryChange change = fencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT);

      assertThat(change.giveUp(view, 200 + LEASE_WAIT)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.ORDERING);
    }
  }

  @Nested
  class OrdersOfUnknownOutcome {
    @Test
    void should_keep_the_fences_while_the_order_may_still_take_effect() {
      PrimaryChange change = fencedAt(100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT);
      change.onOrdered(PromotionCall.Outcome.UNKNOWN, 200 + LEASE_WAIT);
      view.onUnreachable(NEAR, true, 5_000);
      view.onUnreachable(FAR, true, 5_000);

      assertThat(change.next(view, 10_000)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.ORDERING);
    }

    @Test
    void should_keep_fences_of_an_earlier_driver_until_its_order_has_taken_effect() {
      view.onStatus(NEAR, ServiceViewTest.replica(1, 7, 2), 50, 50);
      PrimaryChange change = new PrimaryChange(LEADER, false, true, 2, 100);

      assertThat(change.giveUp(view, 2_000)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
      assertThat(change.giveUp(view, 2_700)).containsExactly(new PrimaryChange.Step.Unfence(NEAR));
    }
  }

  @Nested
  class Planned {
    @Test
    void should_first_stop_the_old_primary_from_acknowledging() {
      PrimaryChange change = new PrimaryChange(LEADER, true, false, 2, 100);

      assertThat(change.next(view, 100)).containsExactly(new PrimaryChange.Step.Demote(LEADER, 2));
    }

    @Test
    void should_fence_once_its_last_commits_had_time_to_arrive() {
      PrimaryChange change = new PrimaryChange(LEADER, true, false, 2, 100);
      change.next(view, 100);
      view.onStatus(LEADER, ServiceViewTest.replica(1, 9, 0), 110, 110);

      assertThat(change.next(view, 120)).isEmpty();
      assertThat(change.next(view, 190))
          .contains(new PrimaryChange.Step.Fence(NEAR, 2), new PrimaryChange.Step.Fence(FAR, 2));
    }
  }
}
