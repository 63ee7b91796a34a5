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
  static final MemberId LEADER = new MemberId("m-1");
  static final MemberId NEAR = new MemberId("m-2");
  static final MemberId FAR = new MemberId("m-3");

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
    view.setMembers(List.of(entry(LEADER, false), entry(NEAR, false), entry(FAR, false)), 0);
  }

  @Nested
  class Lease {
    @Test
    void should_not_rely_on_a_primary_that_no_replica_confirms() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);

      assertThat(view.primary()).isPresent();
      assertThat(view.usablePrimary(100)).isEmpty();
    }

    @Test
    void should_rely_on_a_primary_from_the_moment_the_replicas_were_asked() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onStatus(FAR, replica(1, 5, 0), 250, 251);
      view.onStatus(NEAR, replica(1, 5, 0), 200, 252);

      long end = 200 + PrimaryLease.DURATION_MILLIS;
      assertThat(view.usablePrimary(end - 1)).isPresent();
      assertThat(view.usablePrimary(end)).isEmpty();
    }

    @Test
    void should_not_begin_while_only_one_of_two_replicas_was_seen_unfenced() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onStatus(NEAR, replica(1, 5, 0), 200, 200);

      assertThat(view.usablePrimary(210)).isEmpty();
    }

    @Test
    void should_begin_on_a_primary_that_started_again_under_another_id() {
      MemberId again = new MemberId("m-9");
      int port = entry(LEADER, false).address().port();
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.setMembers(
          List.of(
              entry(LEADER, false),
              entry(again, false, port),
              entry(NEAR, false),
              entry(FAR, false)),
          5_000);
      view.onStatus(again, primary(1, 5), 5_010, 5_011);
      view.onStatus(NEAR, replica(1, 5, 0), 5_010, 5_012);
      view.onStatus(FAR, replica(1, 5, 0), 5_010, 5_013);

      assertThat(view.usablePrimary(5_020).map(MemberView::id)).contains(again);
    }

    @Test
    void should_not_wait_for_a_member_whose_address_another_one_has_taken_over() {
      MemberId again = new MemberId("m-9");
      int port = entry(LEADER, false).address().port();
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.setMembers(
          List.of(entry(again, false, port), entry(NEAR, false), entry(FAR, false)), 5_000);
      view.onStatus(again, primary(1, 5), 5_010, 5_011);
      view.onStatus(NEAR, replica(1, 5, 0), 5_010, 5_012);
      view.onStatus(FAR, replica(1, 5, 0), 5_010, 5_013);

      assertThat(view.usablePrimary(5_020).map(MemberView::id)).contains(again);
    }

    @Test
    void should_be_prolonged_by_one_replica_while_it_lasts() {
      begin(100);
      view.onStatus(NEAR, replica(1, 5, 0), 1_000, 1_010);

      assertThat(view.leaseMillis(1_010)).isEqualTo(PrimaryLease.DURATION_MILLIS - 10);
    }

    @Test
    void should_not_begin_again_by_a_replica_that_a_promotion_let_go() {
      begin(100);
      view.onStatus(FAR, replica(1, 5, 2), 400, 400);
      view.onStatus(NEAR, replica(1, 5, 2), 420, 420);
      long promoted = 420 + PrimaryLease.DURATION_MILLIS + PrimaryLease.DRIVER_MARGIN_MILLIS;
      view.onStatus(NEAR, replica(1, 5, 0), promoted + 10, promoted + 20);

      assertThat(view.usablePrimary(promoted + 30)).isEmpty();
    }

    @Test
    void should_not_begin_from_confirmations_further_apart_than_a_promotion_takes() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onStatus(FAR, replica(1, 5, 0), 100, 100);
      long later = 100 + PrimaryLease.DURATION_MILLIS;
      view.onStatus(NEAR, replica(1, 5, 0), later, later);

      assertThat(view.usablePrimary(later + 1)).isEmpty();
    }

    @Test
    void should_begin_with_a_takeover_that_was_seen_although_the_old_primary_is_dark() {
      begin(100);
      view.onUnreachable(LEADER, false, 500);
      view.onStatus(FAR, replica(1, 5, 2), 2_000, 2_010);
      view.onStatus(FAR, primary(2, 5), 2_250, 2_260);

      assertThat(view.leaseMillis(2_260)).isEqualTo(2_000 + PrimaryLease.DURATION_MILLIS - 2_260);
      view.onStatus(NEAR, replica(1, 5, 0), 2_500, 2_510);
      assertThat(view.leaseMillis(2_510)).isEqualTo(2_500 + PrimaryLease.DURATION_MILLIS - 2_510);
    }

    @Test
    void should_not_begin_on_a_member_that_only_seems_to_be_alone() {
      view.setMembers(List.of(entry(LEADER, false)), 100);
      view.onStatus(LEADER, primary(1, 5), 110, 110);
      assertThat(view.usablePrimary(120)).isEmpty();

      long later = 100 + ServiceView.VANISHED_GRACE_MILLIS;
      view.setMembers(List.of(entry(LEADER, false)), later);
      view.onStatus(LEADER, primary(1, 5), later, later);
      view.onUnreachable(LEADER, true, later);
      assertThat(view.usablePrimary(later + 10)).isPresent();
    }

    @Test
    void should_not_begin_while_a_member_that_has_just_vanished_may_lead() {
      view.onStatus(LEADER, primary(1, 5), 90, 90);
      view.setMembers(List.of(entry(LEADER, false), entry(NEAR, false)), 100);
      view.onStatus(NEAR, replica(1, 5, 0), 120, 120);
      assertThat(view.usablePrimary(130)).isEmpty();

      long later = 100 + ServiceView.VANISHED_GRACE_MILLIS;
      view.onStatus(NEAR, replica(1, 5, 0), later, later);
      assertThat(view.usablePrimary(later + 10)).isPresent();
    }

    @Test
    void should_begin_although_a_leaving_member_is_out_of_reach() {
      view.setMembers(List.of(entry(LEADER, false), entry(NEAR, false), entry(FAR, true)), 0);
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onUnreachable(FAR, false, 110);
      view.onStatus(NEAR, replica(1, 5, 0), 120, 120);

      assertThat(view.usablePrimary(130)).isPresent();
    }

    @Test
    void should_not_begin_with_a_primary_that_was_never_seen_to_follow() {
      view.onUnreachable(LEADER, false, 500);
      view.onStatus(FAR, primary(2, 5), 2_250, 2_260);
      view.onStatus(NEAR, replica(2, 5, 0), 2_500, 2_510);

      assertThat(view.usablePrimary(2_520)).isEmpty();
    }

    private void begin(long at) {
      view.onStatus(LEADER, primary(1, 5), at, at);
      view.onStatus(FAR, replica(1, 5, 0), at, at);
      view.onStatus(NEAR, replica(1, 5, 0), at, at);
    }

    @Test
    void should_not_take_a_fenced_replica_for_a_confirmation() {
      begin(100);
      view.onStatus(FAR, replica(1, 5, 2), 250, 250);

      assertThat(view.usablePrimary(300)).isEmpty();
    }

    @Test
    void should_be_prolonged_by_a_replica_that_shows_a_later_write() {
      begin(100);
      view.onApplied(LEADER, new Position(1, 5), 300, 301);
      view.onApplied(NEAR, new Position(1, 6), 400, 401);

      assertThat(view.leaseMillis(401)).isEqualTo(300 + PrimaryLease.DURATION_MILLIS - 401);
    }

    @Test
    void should_not_be_prolonged_by_a_replica_that_shows_nothing_newer() {
      begin(100);
      view.onApplied(LEADER, new Position(1, 5), 300, 301);
      view.onApplied(NEAR, new Position(1, 5), 400, 401);

      assertThat(view.leaseMillis(401)).isEqualTo(100 + PrimaryLease.DURATION_MILLIS - 401);
    }

    @Test
    void should_end_when_any_member_names_a_newer_term() {
      begin(100);
      view.onApplied(FAR, new Position(2, 6), 210, 211);

      assertThat(view.usablePrimary(212)).isEmpty();
      view.onStatus(NEAR, replica(1, 5, 0), 220, 220);
      assertThat(view.usablePrimary(221)).isEmpty();
    }

    @Test
    void should_hold_while_no_other_member_runs() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onUnreachable(NEAR, true, 150);
      assertThat(view.usablePrimary(160)).isEmpty();
      view.onUnreachable(FAR, true, 170);

      assertThat(view.usablePrimary(180)).isPresent();
    }

    @Test
    void should_go_on_without_a_gap_while_no_other_member_runs() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      for (long now = 150; now < 5_000; now += 150) {
        view.onUnreachable(NEAR, true, now);
        view.onUnreachable(FAR, true, now);
        assertThat(view.usablePrimary(now + 149)).isPresent();
      }
    }

    @Test
    void should_not_begin_by_a_refusal_from_before_the_member_may_have_been_ordered_to_lead() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onUnreachable(FAR, true, 150);
      long later = 150 + PrimaryLease.DURATION_MILLIS;
      view.onStatus(NEAR, replica(1, 5, 0), later, later);

      assertThat(view.usablePrimary(later + 10)).isEmpty();
    }

    @Test
    void should_not_hold_while_another_member_is_only_silent() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onUnreachable(NEAR, true, 150);
      view.onUnreachable(FAR, false, 170);

      assertThat(view.usablePrimary(180)).isEmpty();
    }
  }

  @Nested
  class Primary {
    @Test
    void should_follow_the_member_that_leads_the_newest_term() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onStatus(FAR, primary(2, 5), 200, 200);
      view.onStatus(LEADER, primary(1, 9), 300, 300);

      assertThat(view.primary().map(MemberView::id)).contains(FAR);
      assertThat(view.term()).isEqualTo(2);
      assertThat(view.formerPrimary().map(MemberView::id)).contains(LEADER);
    }

    @Test
    void should_be_unknown_once_it_says_that_it_follows() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onStatus(NEAR, replica(1, 5, 0), 150, 150);
      view.onStatus(FAR, replica(1, 5, 0), 150, 150);
      view.onStatus(LEADER, replica(1, 5, 0), 200, 200);

      assertThat(view.primary()).isEmpty();
      assertThat(view.usablePrimary(201)).isEmpty();
    }

    @Test
    void should_count_as_unusable_from_the_tick_that_saw_no_lease() {
      view.tick(0);
      assertThat(view.unusableMillis(90)).isEqualTo(90);
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onStatus(NEAR, replica(1, 5, 0), 100, 100);
      view.onStatus(FAR, replica(1, 5, 0), 100, 100);
      view.tick(110);
      assertThat(view.unusableMillis(5_000)).isZero();

      view.tick(9_000);
      assertThat(view.unusableMillis(9_040)).isEqualTo(40);
    }

    @Test
    void should_not_be_trusted_for_an_answer_of_an_older_term() {
      view.onStatus(LEADER, primary(2, 5), 100, 100);
      view.onStatus(NEAR, replica(2, 5, 0), 150, 150);
      view.onStatus(FAR, replica(2, 5, 0), 150, 150);

      assertThat(view.stillLeads(LEADER, 2, 160)).isTrue();
      assertThat(view.stillLeads(LEADER, 1, 160)).isFalse();
      assertThat(view.stillLeads(NEAR, 2, 160)).isFalse();
    }

    @Test
    void should_be_forgotten_with_a_member_that_starts_again() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      MemberEntry reborn =
          new MemberEntry(
              LEADER,
              OptionalLong.of(7),
              "orders",
              new Address("127.0.0.1", 9_000),
              new FailureDomain("hall"),
              3,
              false,
              MemberRole.REPLICA,
              false);
      view.setMembers(List.of(reborn, entry(NEAR, false), entry(FAR, false)), 0);

      assertThat(view.member(LEADER).flatMap(MemberView::status)).isEmpty();
    }
  }

  @Nested
  class Floor {
    @Test
    void should_be_what_the_primary_held_within_the_age() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onStatus(NEAR, replica(1, 5, 0), 100, 100);
      view.onStatus(FAR, replica(1, 5, 0), 100, 100);
      view.onApplied(LEADER, new Position(1, 5), 110, 111);
      view.onApplied(LEADER, new Position(1, 8), 600, 601);

      assertThat(view.floor(1_000, 900)).contains(new Position(1, 5));
      assertThat(view.floor(1_000, 500)).contains(new Position(1, 8));
      assertThat(view.floor(2_000, 500)).isEmpty();
    }

    @Test
    void should_not_rest_on_a_primary_without_a_lease() {
      view.onStatus(LEADER, primary(1, 5), 100, 100);
      view.onApplied(LEADER, new Position(1, 5), 110, 111);

      assertThat(view.floor(200, 1_000)).isEmpty();
    }

    @Test
    void should_replace_positions_of_older_terms_by_where_the_new_term_began() {
      view.onStatus(LEADER, primary(2, 7), 100, 100);
      view.onStatus(NEAR, replica(2, 7, 0), 100, 100);
      view.onStatus(FAR, replica(2, 7, 0), 100, 100);
      assertThat(view.inThisTerm(new Position(1, 99))).isEmpty();
      view.onApplied(LEADER, new Position(2, 8), 110, 111);

      assertThat(view.inThisTerm(new Position(1, 99))).contains(new Position(2, 8));
      assertThat(view.inThisTerm(new Position(2, 9))).contains(new Position(2, 9));
      assertThat(view.inThisTerm(new Position(3, 1))).isEqualTo(Optional.empty());
    }
  }
}
