package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;
import org.sardinebay.session.PromotionClient;

/**
 * Guards against lost commits: with one synchronous replica, a leaving replica that alone had
 * received acknowledged commits was passed over at a promotion.
 */
class SynchronousReplicasTest {
  private static final MemberId PRIMARY = ServiceViewTest.PRIMARY;
  private static final MemberId REPLICA_1 = ServiceViewTest.REPLICA_1;
  private static final MemberId REPLICA_2 = ServiceViewTest.REPLICA_2;
  private static final long LEASE_WAIT_MILLIS =
      PrimaryLease.DURATION_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;

  private final ServiceView view = new ServiceView("orders", 0);
  private final FakeDriverLease lease = new FakeDriverLease();

  private PrimaryChange fencedChange() {
    view.onUnreachable(PRIMARY, true, 0);
    PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
    change.next(view, 100);
    change.onAnnounced(100);
    view.lease().onMembersKnown(100);
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);
    change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), 100);
    return change;
  }

  @BeforeEach
  void addMembers() {
    setLeaving(null);
    view.onStatus(PRIMARY, ServiceViewTest.primary(1, 9), 0, 0);
    view.requireReplicas(1);
  }

  private void setLeaving(MemberId leaving) {
    view.setMembers(
        Stream.of(PRIMARY, REPLICA_1, REPLICA_2)
            .map(id -> ServiceViewTest.entry(id, id.equals(leaving)))
            .toList(),
        ServiceViewTest.REGISTERED_AT);
    view.lease().onMembersKnown(0);
  }

  @Test
  void should_promote_a_leaving_member_that_alone_has_the_newest_commits() {
    setLeaving(REPLICA_2);
    PrimaryChange change = fencedChange();
    change.next(view, 100);

    assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS))
        .containsExactly(new ChangeStep.Promote(REPLICA_2));
  }

  @Test
  void should_prefer_a_member_that_stays_if_it_has_received_as_much() {
    setLeaving(REPLICA_2);
    PrimaryChange change = fencedChange();
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 8, 2), 100);
    change.next(view, 100);

    assertThat(change.next(view, 100 + LEASE_WAIT_MILLIS))
        .containsExactly(new ChangeStep.Promote(REPLICA_1));
  }

  @Test
  void should_wait_for_a_replica_that_may_alone_have_received_a_commit() {
    view.onUnreachable(PRIMARY, true, 0);
    view.onUnreachable(REPLICA_2, true, 0);
    PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
    change.next(view, 100);
    change.onAnnounced(100);
    view.lease().onMembersKnown(100);
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);

    assertThat(change.next(view, 60_000)).containsExactly(new ChangeStep.Fence(REPLICA_2, 2));
    assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
    assertThat(change.waitsForReplicas(view)).isTrue();
  }

  @Test
  void should_wait_for_a_replica_whose_entry_has_disappeared() {
    view.onUnreachable(PRIMARY, true, 0);
    view.setMembers(
        List.of(ServiceViewTest.entry(PRIMARY, false), ServiceViewTest.entry(REPLICA_1, false)),
        50);
    PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
    change.next(view, 100);
    change.onAnnounced(100);
    view.lease().onMembersKnown(100);
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);

    change.next(view, 60_000);
    assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.FENCING);
  }

  @Test
  void should_order_the_same_member_again_when_it_was_not_running() {
    PrimaryChange change = fencedChange();
    change.next(view, 100);
    change.next(view, 100 + LEASE_WAIT_MILLIS);
    change.onPromotionOrdered(PromotionClient.Outcome.MEMBER_DOWN, 100 + LEASE_WAIT_MILLIS);

    change.next(view, 150 + LEASE_WAIT_MILLIS);
    assertThat(change.next(view, 300 + LEASE_WAIT_MILLIS))
        .containsExactly(new ChangeStep.Promote(REPLICA_2));
  }

  @Test
  void should_promote_a_replica_that_has_the_whole_log_of_the_demoted_primary() {
    PrimaryChange change = new PrimaryChange(lease, PRIMARY, true, false, 1, 2, 100);
    change.next(view, 100);
    view.onStatus(PRIMARY, ServiceViewTest.replica(1, 8, 0), 110, 110);
    view.onUnreachable(REPLICA_1, true, 110);
    change.next(view, 200);
    change.onFenced(REPLICA_2, ServiceViewTest.replica(1, 8, 2), 210);

    change.next(view, 250);
    assertThat(change.phase()).isEqualTo(PrimaryChange.Phase.WAITING);
  }

  @Test
  void should_keep_a_leaving_primary_that_is_back_while_a_replica_is_missing() {
    setLeaving(PRIMARY);
    view.onUnreachable(REPLICA_2, true, 0);
    PrimaryChange change = new PrimaryChange(lease, PRIMARY, false, false, 1, 2, 100);
    change.onFenced(REPLICA_1, ServiceViewTest.replica(1, 7, 2), 100);

    assertThat(change.oldPrimaryBack(view)).isTrue();
  }
}
