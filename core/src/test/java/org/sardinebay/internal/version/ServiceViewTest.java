package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Address;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberRole;
import org.sardinebay.session.MemberStatus;

class ServiceViewTest {
  static final MemberId PRIMARY = new MemberId("m-1");
  static final MemberId REPLICA_1 = new MemberId("m-2");
  static final MemberId REPLICA_2 = new MemberId("m-3");

  /** When the members of a test were registered, in milliseconds: all hosts know them by now. */
  static final long REGISTERED_AT = -60_000;

  /** When the store showed that no change was announced since this host knows the members. */
  static final long FOLLOWED_AT = REGISTERED_AT + 100;

  private final ServiceView view = new ServiceView("orders", 0);

  static MemberEntry entry(MemberId id, boolean draining) {
    return entry(id, draining, 9_000 + id.value().charAt(id.value().length() - 1));
  }

  private static MemberEntry entry(MemberId id, boolean draining, int port) {
    return new MemberEntry(
        id,
        OptionalLong.empty(),
        "orders",
        new Address("127.0.0.1", port),
        new FailureDomain("hall"),
        3,
        draining,
        MemberRole.REPLICA,
        false);
  }

  static MemberStatus primary(long term, long index) {
    return new MemberStatus(MemberRole.PRIMARY, term, new Position(term, index), 0, 0, 0, 1);
  }

  static MemberStatus replica(long term, long index, long fence) {
    return new MemberStatus(MemberRole.REPLICA, term, new Position(term, index), fence, 0, 0, 1);
  }

  @BeforeEach
  void addMembers() {
    view.setMembers(
        List.of(entry(PRIMARY, false), entry(REPLICA_1, false), entry(REPLICA_2, false)),
        REGISTERED_AT);
    view.lease().onMembersKnown(0);
    view.lease().onAnnouncedTerm(0, FOLLOWED_AT, FOLLOWED_AT);
  }

  @Nested
  class Lease {
    @Test
    void should_not_be_valid_for_a_primary_that_no_replica_confirms() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);

      assertThat(view.primary()).isPresent();
      assertThat(view.leasedPrimary(100)).isEmpty();
    }

    @Test
    void should_start_at_the_earliest_query_among_the_confirmations() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 250, 251);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 200, 252);

      long end = 200 + PrimaryLease.DURATION_MILLIS;
      assertThat(view.leasedPrimary(end - 1)).isPresent();
      assertThat(view.leasedPrimary(end)).isEmpty();
    }

    @Test
    void should_not_start_while_only_one_of_two_replicas_was_observed_unfenced() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 200, 200);

      assertThat(view.leasedPrimary(210)).isEmpty();
    }

    @Test
    void should_start_for_a_primary_that_restarted_under_another_id() {
      MemberId restarted = new MemberId("m-9");
      int port = entry(PRIMARY, false).address().port();
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.setMembers(
          List.of(
              entry(PRIMARY, false),
              entry(restarted, false, port),
              entry(REPLICA_1, false),
              entry(REPLICA_2, false)),
          5_000);
      view.onStatus(restarted, primary(1, 5), 5_010, 5_011);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 5_010, 5_012);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 5_010, 5_013);

      assertThat(view.leasedPrimary(5_020).map(MemberView::id)).contains(restarted);
    }

    @Test
    void should_not_require_a_member_whose_address_another_member_has_taken_over() {
      MemberId restarted = new MemberId("m-9");
      int port = entry(PRIMARY, false).address().port();
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.setMembers(
          List.of(entry(restarted, false, port), entry(REPLICA_1, false), entry(REPLICA_2, false)),
          5_000);
      view.onStatus(restarted, primary(1, 5), 5_010, 5_011);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 5_010, 5_012);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 5_010, 5_013);

      assertThat(view.leasedPrimary(5_020).map(MemberView::id)).contains(restarted);
    }

    @Test
    void should_be_extended_by_one_replica_while_valid() {
      startLease(100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 1_000, 1_010);

      assertThat(view.leaseMillis(1_010)).isEqualTo(PrimaryLease.DURATION_MILLIS - 10);
    }

    @Test
    void should_not_start_again_with_a_replica_that_was_unfenced_after_a_promotion() {
      startLease(100);
      view.onStatus(REPLICA_2, replica(1, 5, 2), 400, 400);
      view.onStatus(REPLICA_1, replica(1, 5, 2), 420, 420);
      long promoted = 420 + PrimaryLease.DURATION_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;
      view.onStatus(REPLICA_1, replica(1, 5, 0), promoted + 10, promoted + 20);

      assertThat(view.leasedPrimary(promoted + 30)).isEmpty();
    }

    @Test
    void should_not_start_with_confirmations_further_apart_than_a_promotion_takes() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 100, 100);
      long later = 100 + PrimaryLease.DURATION_MILLIS;
      view.onStatus(REPLICA_1, replica(1, 5, 0), later, later);

      assertThat(view.leasedPrimary(later + 1)).isEmpty();
    }

    @Test
    void should_start_for_a_member_observed_to_become_primary_while_the_old_one_is_unreachable() {
      startLease(100);
      view.onUnreachable(PRIMARY, false, 500);
      view.onStatus(REPLICA_2, replica(1, 5, 2), 2_000, 2_010);
      view.onStatus(REPLICA_2, primary(2, 5), 2_250, 2_260);

      assertThat(view.leaseMillis(2_260)).isEqualTo(2_000 + PrimaryLease.DURATION_MILLIS - 2_260);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 2_500, 2_510);
      assertThat(view.leaseMillis(2_510)).isEqualTo(2_500 + PrimaryLease.DURATION_MILLIS - 2_510);
    }

    @Test
    void should_not_start_while_a_member_whose_entry_just_disappeared_may_be_primary() {
      view.onStatus(PRIMARY, primary(1, 5), 90, 90);
      view.setMembers(List.of(entry(PRIMARY, false), entry(REPLICA_1, false)), 100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 120, 120);
      assertThat(view.leasedPrimary(130)).isEmpty();

      long later = 99 + ServiceLease.REMEMBERED_MILLIS;
      view.onStatus(REPLICA_1, replica(1, 5, 0), later, later);
      assertThat(view.leasedPrimary(later)).isEmpty();
      view.tick(later + 1);
      view.onStatus(REPLICA_1, replica(1, 5, 0), later + 1, later + 1);
      assertThat(view.leasedPrimary(later + 1)).isPresent();
    }

    @Test
    void should_wait_for_a_leaving_member_that_may_be_promoted_for_its_commits() {
      view.requireReplicas(1);
      view.setMembers(
          List.of(entry(PRIMARY, false), entry(REPLICA_1, false), entry(REPLICA_2, true)), 0);
      view.onStatus(PRIMARY, primary(1, 5), 0, 0);
      view.onUnreachable(REPLICA_2, false, 0);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 10, 10);

      assertThat(view.leasedPrimary(20)).isEmpty();
    }

    @Test
    void should_remember_a_departed_replica_until_a_member_at_its_address_has_its_log() {
      view.onStatus(PRIMARY, primary(1, 5), 0, 0);
      view.setMembers(List.of(entry(PRIMARY, false), entry(REPLICA_1, false)), 50);
      view.tick(60_000);
      assertThat(view.departedReplicas()).containsExactly(REPLICA_2);

      MemberId successor = new MemberId("m-9");
      view.setMembers(
          List.of(
              entry(PRIMARY, false),
              entry(REPLICA_1, false),
              entry(successor, false, entry(REPLICA_2, false).address().port())),
          60_000);
      assertThat(view.departedReplicas()).isEmpty();
    }

    @Test
    void should_start_although_a_leaving_member_is_unreachable_if_no_change_is_announced() {
      view.setMembers(
          List.of(entry(PRIMARY, false), entry(REPLICA_1, false), entry(REPLICA_2, true)), 0);
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onUnreachable(REPLICA_2, false, 110);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 120, 120);
      assertThat(view.leasedPrimary(130)).isEmpty();

      view.lease().onAnnouncedTerm(1, 130, 140);
      assertThat(view.leasedPrimary(140)).isPresent();
    }

    @Test
    void should_not_start_for_a_primary_never_observed_as_a_replica() {
      view.onUnreachable(PRIMARY, false, 500);
      view.onStatus(REPLICA_2, primary(2, 5), 2_250, 2_260);
      view.onStatus(REPLICA_1, replica(2, 5, 0), 2_500, 2_510);

      assertThat(view.leasedPrimary(2_520)).isEmpty();
    }

    private void startLease(long at) {
      view.onStatus(PRIMARY, primary(1, 5), at, at);
      view.onStatus(REPLICA_2, replica(1, 5, 0), at, at);
      view.onStatus(REPLICA_1, replica(1, 5, 0), at, at);
    }

    @Test
    void should_not_count_a_fenced_replica_as_a_confirmation() {
      startLease(100);
      view.onStatus(REPLICA_2, replica(1, 5, 2), 250, 250);

      assertThat(view.leasedPrimary(300)).isEmpty();
    }

    @Test
    void should_be_extended_by_a_replica_that_applied_a_later_write() {
      startLease(100);
      view.onApplied(PRIMARY, new Position(1, 5), 300, 301);
      view.onApplied(REPLICA_1, new Position(1, 6), 400, 401);

      assertThat(view.leaseMillis(401)).isEqualTo(300 + PrimaryLease.DURATION_MILLIS - 401);
    }

    @Test
    void should_not_be_extended_by_a_replica_that_applied_no_later_write() {
      startLease(100);
      view.onApplied(PRIMARY, new Position(1, 5), 300, 301);
      view.onApplied(REPLICA_1, new Position(1, 5), 400, 401);

      assertThat(view.leaseMillis(401)).isEqualTo(100 + PrimaryLease.DURATION_MILLIS - 401);
    }

    @Test
    void should_end_when_any_member_reports_a_newer_term() {
      startLease(100);
      view.onApplied(REPLICA_2, new Position(2, 6), 210, 211);

      assertThat(view.leasedPrimary(212)).isEmpty();
      view.onStatus(REPLICA_1, replica(1, 5, 0), 220, 220);
      assertThat(view.leasedPrimary(221)).isEmpty();
    }

    @Test
    void should_be_valid_while_no_other_member_runs_and_no_change_is_announced() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onUnreachable(REPLICA_1, true, 150);
      view.lease().onAnnouncedTerm(0, 150, 155);
      assertThat(view.leasedPrimary(160)).isEmpty();
      view.onUnreachable(REPLICA_2, true, 170);

      assertThat(view.leasedPrimary(180)).isPresent();
    }

    @Test
    void should_be_extended_without_a_gap_while_no_other_member_runs() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onUnreachable(REPLICA_1, true, 100);
      view.onUnreachable(REPLICA_2, true, 100);
      for (long now = 150; now < 5_000; now += 400) {
        view.lease().onAnnouncedTerm(0, now, now + 10);
        assertThat(view.leasedPrimary(now + 409)).isPresent();
      }
    }

    @Test
    void should_not_start_with_an_answer_of_the_store_from_before_a_possible_promotion() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onUnreachable(REPLICA_2, true, 150);
      view.lease().onAnnouncedTerm(0, 150, 160);
      long later = 150 + PrimaryLease.DURATION_MILLIS;
      view.onStatus(REPLICA_1, replica(1, 5, 0), later, later);

      assertThat(view.leasedPrimary(later + 10)).isEmpty();
    }

    @Test
    void should_not_be_valid_while_another_member_is_only_silent() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onUnreachable(REPLICA_1, true, 150);
      view.onUnreachable(REPLICA_2, false, 170);

      assertThat(view.leasedPrimary(180)).isEmpty();
    }
  }

  @Nested
  class Primary {
    @Test
    void should_be_the_primary_of_the_newest_term() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_2, primary(2, 5), 200, 200);
      view.onStatus(PRIMARY, primary(1, 9), 300, 300);

      assertThat(view.primary().map(MemberView::id)).contains(REPLICA_2);
      assertThat(view.term()).isEqualTo(2);
      assertThat(view.formerPrimary().map(MemberView::id)).contains(PRIMARY);
    }

    @Test
    void should_be_unknown_once_it_reports_the_replica_role() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 150, 150);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 150, 150);
      view.onStatus(PRIMARY, replica(1, 5, 0), 200, 200);

      assertThat(view.primary()).isEmpty();
      assertThat(view.leasedPrimary(201)).isEmpty();
    }

    @Test
    void should_be_missing_from_the_first_tick_without_a_lease() {
      view.tick(0);
      assertThat(view.millisWithoutPrimary(90)).isEqualTo(90);
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 100, 100);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 100, 100);
      view.tick(110);
      assertThat(view.millisWithoutPrimary(5_000)).isZero();

      view.tick(9_000);
      assertThat(view.millisWithoutPrimary(9_040)).isEqualTo(40);
    }

    @Test
    void should_not_hold_the_lease_in_an_older_term() {
      view.onStatus(PRIMARY, primary(2, 5), 100, 100);
      view.onStatus(REPLICA_1, replica(2, 5, 0), 150, 150);
      view.onStatus(REPLICA_2, replica(2, 5, 0), 150, 150);

      assertThat(view.holdsPrimaryLease(PRIMARY, 2, 160)).isTrue();
      assertThat(view.holdsPrimaryLease(PRIMARY, 1, 160)).isFalse();
      assertThat(view.holdsPrimaryLease(REPLICA_1, 2, 160)).isFalse();
    }

    @Test
    void should_lose_its_status_when_the_member_restarts() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      MemberEntry restartedEntry =
          new MemberEntry(
              PRIMARY,
              OptionalLong.of(7),
              "orders",
              new Address("127.0.0.1", 9_000),
              new FailureDomain("hall"),
              3,
              false,
              MemberRole.REPLICA,
              false);
      view.setMembers(List.of(restartedEntry, entry(REPLICA_1, false), entry(REPLICA_2, false)), 0);

      assertThat(view.member(PRIMARY).flatMap(MemberView::status)).isEmpty();
    }
  }

  @Nested
  class MinimumPosition {
    @Test
    void should_be_the_position_of_the_primary_within_the_allowed_staleness() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onStatus(REPLICA_1, replica(1, 5, 0), 100, 100);
      view.onStatus(REPLICA_2, replica(1, 5, 0), 100, 100);
      view.onApplied(PRIMARY, new Position(1, 5), 110, 111);
      view.onApplied(PRIMARY, new Position(1, 8), 600, 601);

      assertThat(view.minimumPosition(1_000, 900)).contains(new Position(1, 5));
      assertThat(view.minimumPosition(1_000, 500)).contains(new Position(1, 8));
      assertThat(view.minimumPosition(2_000, 500)).isEmpty();
    }

    @Test
    void should_not_be_known_without_a_lease() {
      view.onStatus(PRIMARY, primary(1, 5), 100, 100);
      view.onApplied(PRIMARY, new Position(1, 5), 110, 111);

      assertThat(view.minimumPosition(200, 1_000)).isEmpty();
    }

    @Test
    void should_map_positions_of_older_terms_to_a_position_of_the_current_term() {
      view.onStatus(PRIMARY, primary(2, 7), 100, 100);
      view.onStatus(REPLICA_1, replica(2, 7, 0), 100, 100);
      view.onStatus(REPLICA_2, replica(2, 7, 0), 100, 100);
      assertThat(view.mapToCurrentTerm(new Position(1, 99))).isEmpty();
      view.onApplied(PRIMARY, new Position(2, 8), 110, 111);

      assertThat(view.mapToCurrentTerm(new Position(1, 99))).contains(new Position(2, 8));
      assertThat(view.mapToCurrentTerm(new Position(2, 9))).contains(new Position(2, 9));
      assertThat(view.mapToCurrentTerm(new Position(3, 1))).isEqualTo(Optional.empty());
    }
  }
}
