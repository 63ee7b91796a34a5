package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;
import org.sardinebay.session.PromotionClient;

/** Guards against an order before the leases of all hosts on the old primary have expired. */
class LeaseWaitTest {
  private static final MemberId PRIMARY = ServiceViewTest.PRIMARY;
  private static final MemberId REPLICA_1 = ServiceViewTest.REPLICA_1;
  private static final MemberId REPLICA_2 = ServiceViewTest.REPLICA_2;
  private static final long LEASE_WAIT_MILLIS =
      PrimaryLease.DURATION_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;

  private static final long COVERAGE_WAIT_MILLIS =
      PrimaryLease.COVERAGE_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;

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
    PrimaryChange change = changeAnnouncedAt(now);
    view.lease().onMembersKnown(now);
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), now);
    change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), now);
    return change;
  }

  private PrimaryChange changeAnnouncedAt(long now) {
    view.onUnreachable(PRIMARY, true, 0);
    PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, now);
    change.next(view, now);
    change.onAnnounced(now);
    return change;
  }

  private PrimaryChange changeWithoutReplica2At(long now, boolean refused) {
    PrimaryChange change = changeAnnouncedAt(now);
    view.lease().onMembersKnown(now);
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), now);
    view.onUnreachable(REPLICA_2, refused, now);
    change.next(view, now);
    return change;
  }

  private void assertOrderedAfterCoverage(PrimaryChange change, long startedAt) {
    view.lease().onMembersKnown(startedAt);
    assertThat(change.next(view, startedAt + COVERAGE_WAIT_MILLIS - 1))
        .noneMatch(step -> step instanceof ChangeStep.Promote);
    assertThat(change.next(view, startedAt + COVERAGE_WAIT_MILLIS))
        .contains(new ChangeStep.Promote(REPLICA_1));
  }

  private void expireEntry(MemberId expired) {
    view.setMembers(
        Stream.of(PRIMARY, REPLICA_1, REPLICA_2)
            .map(id -> ServiceViewTest.entry(id, false))
            .map(entry -> entry.id().equals(expired) ? entry.asExpired() : entry)
            .toList(),
        150);
  }

  /**
   * Guards against two primaries in use: a driver took a member as ended that it couldn't reach,
   * and other hosts went on confirming their leases on the old primary by that member.
   */
  @Nested
  class MembersOutOfReach {
    @Test
    void should_delay_the_order_for_a_member_that_is_silent() {
      assertOrderedAfterCoverage(changeWithoutReplica2At(100, false), 100);
    }

    @Test
    void should_delay_the_order_for_a_member_that_refuses_connections() {
      assertOrderedAfterCoverage(changeWithoutReplica2At(100, true), 100);
    }

    @Test
    void should_delay_the_order_for_a_member_whose_entry_has_expired() {
      PrimaryChange change = changeWithoutReplica2At(100, false);
      expireEntry(REPLICA_2);

      assertOrderedAfterCoverage(change, 100);
    }

    @Test
    void should_delay_the_order_for_a_member_whose_entry_has_just_disappeared() {
      view.setMembers(
          List.of(ServiceViewTest.entry(PRIMARY, false), ServiceViewTest.entry(REPLICA_1, false)),
          50);
      PrimaryChange change = changeAnnouncedAt(100);
      view.lease().onMembersKnown(100);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);
      change.next(view, 100);

      assertOrderedAfterCoverage(change, 100);
    }

    @Test
    void should_not_order_before_the_change_is_announced() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
      change.next(view, 100);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);
      change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), 100);

      assertThat(change.next(view, 5_000))
          .contains(new ChangeStep.Announce(2))
          .noneMatch(step -> step instanceof ChangeStep.Promote);
      change.onAnnounced(5_000);
      view.lease().onMembersKnown(5_000);
      assertThat(change.next(view, 5_000 + LEASE_WAIT_MILLIS))
          .contains(new ChangeStep.Promote(REPLICA_2));
    }

    @Test
    void should_delay_the_order_until_all_hosts_know_the_only_member_that_was_fenced() {
      view.setMembers(List.of(ServiceViewTest.entry(PRIMARY, false)), 0);
      view.setMembers(
          List.of(ServiceViewTest.entry(PRIMARY, false), ServiceViewTest.entry(REPLICA_1, false)),
          1_000);
      PrimaryChange change = changeAnnouncedAt(2_000);
      view.lease().onMembersKnown(2_000);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 2_000);
      change.next(view, 2_000);

      assertOrderedAfterCoverage(change, 1_000 + PrimaryLease.MEMBERS_KNOWN_MILLIS);
    }

    @Test
    void should_delay_the_order_while_the_members_have_not_been_listed_lately() {
      PrimaryChange change = changeAnnouncedAt(100);
      view.lease().onMembersKnown(100);
      long fencedAt = 100 + PrimaryLease.JOINED_MILLIS;
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), fencedAt);
      change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), fencedAt);
      change.next(view, fencedAt);

      assertThat(change.next(view, fencedAt + COVERAGE_WAIT_MILLIS - 1)).isEmpty();
      assertThat(change.next(view, fencedAt + COVERAGE_WAIT_MILLIS))
          .containsExactly(new ChangeStep.Promote(REPLICA_2));
    }

    @Test
    void should_not_order_before_the_members_were_listed_after_the_announcement() {
      PrimaryChange change = changeAnnouncedAt(100);
      view.lease().onMembersKnown(99);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);
      change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), 100);
      change.next(view, 100);

      assertThat(change.next(view, 5_000)).isEmpty();
      view.lease().onMembersKnown(5_000);
      assertThat(change.next(view, 5_010)).containsExactly(new ChangeStep.Promote(REPLICA_2));
    }

    /** Guards against the promotion of a member whose fence went with its old process. */
    @Test
    void should_not_order_the_promotion_of_a_member_that_registered_anew_before_it_is_fenced() {
      PrimaryChange change = changeFencedAt(100);
      change.next(view, 100);
      view.setMembers(List.of(ServiceViewTest.entry(PRIMARY, false)), 200);
      view.setMembers(
          List.of(ServiceViewTest.entry(PRIMARY, false), ServiceViewTest.entry(REPLICA_1, false)),
          20_000);
      view.lease().onMembersKnown(20_000);

      assertThat(change.next(view, 31_000)).containsExactly(new ChangeStep.Fence(REPLICA_1, 2));
    }

    /** Guards against a lease of a host that has started since the member's entry disappeared. */
    @Test
    void should_not_order_the_promotion_of_a_member_whose_entry_has_disappeared() {
      PrimaryChange change = changeWithoutReplica2At(100, false);
      expireEntry(REPLICA_1);
      view.lease().onMembersKnown(100);
      assertThat(change.next(view, 100 + COVERAGE_WAIT_MILLIS))
          .noneMatch(step -> step instanceof ChangeStep.Promote);

      expireEntry(REPLICA_2);
      assertThat(change.next(view, 149 + PrimaryLease.MEMBERS_KNOWN_MILLIS))
          .noneMatch(step -> step instanceof ChangeStep.Promote);
      assertOrderedAfterCoverage(change, 150 + PrimaryLease.MEMBERS_KNOWN_MILLIS);
    }
  }

  /**
   * Guards against two primaries of one term: the order of an earlier driver had promoted a member
   * that its successor didn't see, and the successor announced the same term again.
   */
  @Nested
  class AnnouncementsOfEarlierDrivers {
    @Test
    void should_be_exceeded_by_the_next_term() {
      view.lease().onAnnouncedTerm(4, 10, 20);

      assertThat(view.lease().nextTerm()).isEqualTo(5);
    }

    @Test
    void should_end_a_change_to_a_term_that_they_include() {
      PrimaryChange change = changeFencedAt(100);
      change.onOtherAnnouncement(110);

      assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS)).isEmpty();
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.SUPERSEDED);
    }

    @Test
    void should_be_withdrawn_when_the_new_primary_leads_an_earlier_term() {
      PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 5, 100);
      change.next(view, 100);
      change.onAnnounced(100);
      view.lease().onMembersKnown(100);
      change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 5), 100);
      change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 5), 100);
      view.onUnreachable(PRIMARY, true, 100);
      change.next(view, 100);
      change.next(view, 100 + LEASE_WAIT_MILLIS);
      change.onPromotionOrdered(PromotionClient.Outcome.ACCEPTED, 110 + LEASE_WAIT_MILLIS);
      view.onStatus(REPLICA_2, ServiceViewTest.primary(2, 8), 2_000, 2_000);

      assertThat(change.next(view, 2_000)).containsExactly(new ChangeStep.Withdraw(2));
      assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.DONE);
    }
  }
}
