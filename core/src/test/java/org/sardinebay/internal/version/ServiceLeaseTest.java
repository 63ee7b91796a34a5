package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.sardinebay.internal.version.ServiceViewTest.entry;
import static org.sardinebay.internal.version.ServiceViewTest.primary;
import static org.sardinebay.internal.version.ServiceViewTest.replica;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;

class ServiceLeaseTest {
  private static final MemberId PRIMARY = ServiceViewTest.PRIMARY;
  private static final MemberId REPLICA_1 = ServiceViewTest.REPLICA_1;
  private static final MemberId REPLICA_2 = ServiceViewTest.REPLICA_2;

  private final ServiceView view = new ServiceView("orders", 0);

  @BeforeEach
  void addMembers() {
    view.setMembers(
        List.of(entry(PRIMARY, false), entry(REPLICA_1, false), entry(REPLICA_2, false)),
        ServiceViewTest.REGISTERED_AT);
    view.lease().onMembersKnown(0);
    view.lease().onAnnouncedTerm(0, ServiceViewTest.FOLLOWED_AT, ServiceViewTest.FOLLOWED_AT);
  }

  /**
   * Guards against two primaries in use: a host went on using a replaced primary because one
   * replica confirmed it that the driver of the change could not reach and had taken as ended.
   */
  @Nested
  class Coverage {
    private static final long LATER = 100 + PrimaryLease.COVERAGE_MILLIS;

    @BeforeEach
    void startLease() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 100, 100);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 100, 100);
    }

    private void confirmByOneReplicaUntil(long end) {
      view.onUnreachable(REPLICA_1, false, 200);
      for (long now = 600; now < end; now += 500) {
        view.onStatus(REPLICA_2, replica(1, 5, 0), now, now);
      }
    }

    @Test
    void should_end_when_one_replica_confirms_and_another_is_silent() {
      confirmByOneReplicaUntil(LATER);

      assertThat(view.leasedPrimary(LATER - 1)).isPresent();
      assertThat(view.leasedPrimary(LATER)).isEmpty();
    }

    @Test
    void should_end_when_one_replica_confirms_and_another_refuses_connections() {
      confirmByOneReplicaUntil(LATER);
      view.onUnreachable(REPLICA_1, true, LATER - 10);

      assertThat(view.leasedPrimary(LATER)).isEmpty();
    }

    @Test
    void should_last_while_the_store_shows_no_announced_change() {
      confirmByOneReplicaUntil(LATER);
      view.lease().onAnnouncedTerm(1, 1_000, 1_010);

      assertThat(view.leasedPrimary(LATER)).isPresent();
      view.onStatus(REPLICA_2, replica(1, 5, 0), 3_200, 3_200);
      assertThat(view.leasedPrimary(999 + PrimaryLease.COVERAGE_MILLIS)).isPresent();
      assertThat(view.leasedPrimary(1_000 + PrimaryLease.COVERAGE_MILLIS)).isEmpty();
    }

    @Test
    void should_end_when_the_store_shows_an_announced_change() {
      confirmByOneReplicaUntil(LATER);
      view.lease().onAnnouncedTerm(2, 1_000, 1_010);

      assertThat(view.lease().changeAnnounced()).isTrue();
      assertThat(view.leasedPrimary(LATER)).isEmpty();
    }

    @Test
    void should_ignore_an_answer_of_the_store_that_was_overtaken_by_a_later_one() {
      confirmByOneReplicaUntil(LATER);
      view.lease().onAnnouncedTerm(2, 1_500, 1_510);
      view.lease().onAnnouncedTerm(1, 1_400, 1_600);

      assertThat(view.leasedPrimary(LATER)).isEmpty();
    }

    @Test
    void should_be_as_short_as_a_confirmation_while_the_registered_members_are_not_known() {
      long unknown = PrimaryLease.MEMBERS_KNOWN_MILLIS + 1;
      view.onStatus(REPLICA_1, replica(1, 5, 0), unknown, unknown);
      view.onStatus(REPLICA_2, replica(1, 5, 0), unknown, unknown);
      long end = unknown + PrimaryLease.DURATION_MILLIS;
      view.onStatus(REPLICA_2, replica(1, 5, 0), end - 100, end - 100);

      assertThat(view.leasedPrimary(end - 1)).isPresent();
      assertThat(view.leasedPrimary(end)).isEmpty();
    }

    @Test
    void should_not_be_extended_by_a_member_that_drivers_may_not_know_yet() {
      MemberId joined = new MemberId("m-4");
      view.setMembers(
          List.of(
              entry(PRIMARY, false),
              entry(REPLICA_1, false),
              entry(REPLICA_2, false),
              entry(joined, false)),
          200);
      view.onStatus(joined, replica(1, 5, 0), 1_000, 1_000);

      assertThat(view.leasedPrimary(100 + PrimaryLease.DURATION_MILLIS)).isEmpty();
    }
  }

  /**
   * Guards against two primaries in use: a host that had just started did not know a promoted
   * member whose entry had disappeared, and took the others for all.
   */
  @Nested
  class NewHost {
    private final ServiceView started = new ServiceView("orders", 0);

    @BeforeEach
    void followMembers() {
      started.setMembers(
          List.of(entry(PRIMARY, false), entry(REPLICA_1, false), entry(REPLICA_2, false)), 0);
      started.lease().onMembersKnown(0);
    }

    private void confirmByAll(long now) {
      started.lease().onMembersKnown(now);
      started.onStatus(PRIMARY, primary(1, 5), now, now);
      started.onStatus(REPLICA_1, replica(1, 5, 0), now, now);
      started.onStatus(REPLICA_2, replica(1, 5, 0), now, now);
    }

    @Test
    void should_not_use_a_primary_by_its_members_alone() {
      confirmByAll(100);
      assertThat(started.leasedPrimary(110)).isEmpty();

      started.lease().onAnnouncedTerm(1, 110, 120);
      assertThat(started.leasedPrimary(120)).isPresent();
    }

    @Test
    void should_not_use_it_by_its_members_while_a_change_is_announced() {
      started.lease().onAnnouncedTerm(2, 10, 20);
      confirmByAll(10_000);

      assertThat(started.leasedPrimary(10_010)).isEmpty();
    }

    /** Guards against a new host that served nobody while the store was down. */
    @Test
    void should_use_it_by_its_members_once_the_store_has_shown_that_no_change_is_announced() {
      started.lease().onAnnouncedTerm(1, 10, 20);
      confirmByAll(10_000);

      assertThat(started.leasedPrimary(10_010)).isPresent();
    }

    @Test
    void should_not_rest_on_what_the_store_showed_before_the_members_were_listed() {
      ServiceView listedLater = new ServiceView("orders", 0);
      listedLater.setMembers(List.of(entry(PRIMARY, false), entry(REPLICA_1, false)), 20);
      listedLater.lease().onMembersKnown(15);
      listedLater.lease().onAnnouncedTerm(1, 10, 30);
      listedLater.onStatus(PRIMARY, primary(1, 5), 10_000, 10_000);
      listedLater.onStatus(REPLICA_1, replica(1, 5, 0), 10_000, 10_000);

      assertThat(listedLater.leasedPrimary(10_010)).isEmpty();
    }
  }

  /**
   * Guards against two primaries in use: a promotion lifted the fences of all members, among them
   * no new primary that the host knew, and its lease on the old one started again.
   */
  @Nested
  class AnnouncedChange {
    @BeforeEach
    void endLeaseByFence() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 100, 100);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 100, 100);
      view.lease().onAnnouncedTerm(2, 150, 160);
      view.onStatus(REPLICA_1, replica(1, 5, 2), 200, 200);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 3_000, 3_000);
    }

    private void confirmByLastMember() {
      view.onStatus(REPLICA_2, replica(1, 5, 0), 3_000, 3_000);
    }

    @Test
    void should_keep_a_lease_from_starting_although_no_member_is_fenced_any_more() {
      confirmByLastMember();

      assertThat(view.leasedPrimary(3_010)).isEmpty();
    }

    @Test
    void should_let_it_start_once_the_change_is_withdrawn() {
      confirmByLastMember();
      view.lease().onAnnouncedTerm(1, 3_000, 3_005);

      assertThat(view.leasedPrimary(3_010)).isPresent();
    }

    /** Guards against a host that serves nobody because a driver died before its withdrawal. */
    @Test
    void should_let_it_start_by_all_members_that_have_just_been_listed() {
      view.lease().onMembersKnown(2_000);
      confirmByLastMember();

      assertThat(view.leasedPrimary(3_010)).isPresent();
    }
  }

  /** Guards against a service that is never served again after it has lost all members but one. */
  @Nested
  class SingleMember {
    @BeforeEach
    void loseTheOthers() {
      view.setMembers(List.of(entry(PRIMARY, false)), 100);
      view.onStatus(PRIMARY, primary(1, 5), 110, 110);
    }

    @Test
    void should_not_be_used_without_the_store() {
      assertThat(view.leasedPrimary(120)).isEmpty();
      assertThat(view.lease().coverageRemainingMillis(120)).isNegative();
    }

    @Test
    void should_be_used_while_the_store_shows_no_announced_change() {
      for (long now = 150; now < 200_000; now += 400) {
        view.lease().onAnnouncedTerm(1, now, now + 10);
        view.tick(now + 20);
        assertThat(view.leasedPrimary(now + 409)).isPresent();
      }
    }

    @Test
    void should_not_be_used_for_longer_than_a_driver_waits_after_its_announcement() {
      view.lease().onAnnouncedTerm(1, 150, 160);

      assertThat(view.leasedPrimary(149 + PrimaryLease.DURATION_MILLIS)).isPresent();
      assertThat(view.leasedPrimary(150 + PrimaryLease.DURATION_MILLIS)).isEmpty();
    }
  }
}
