package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;

class PrimaryChangeNeedTest {
  private static final MemberId PRIMARY = ServiceViewTest.PRIMARY;
  private static final MemberId REPLICA_1 = ServiceViewTest.REPLICA_1;
  private static final MemberId REPLICA_2 = ServiceViewTest.REPLICA_2;
  private static final long AFTER_ALL_TIMEOUTS_MILLIS = 60_000;

  private final ServiceView view = new ServiceView("orders", 0);

  @BeforeEach
  void addMembers() {
    setMembers(false);
  }

  private void setMembers(boolean primaryLeaving) {
    view.setMembers(
        List.of(
            ServiceViewTest.entry(PRIMARY, primaryLeaving),
            ServiceViewTest.entry(REPLICA_1, false),
            ServiceViewTest.entry(REPLICA_2, false)),
        0);
  }

  @Nested
  class WithKnownPrimary {
    @BeforeEach
    void reportPrimary() {
      view.onStatus(PRIMARY, ServiceViewTest.primary(1, 5), 0, 0);
    }

    @Test
    void should_not_exist_while_the_primary_replies() {
      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS)).isEmpty();
    }

    @Test
    void should_exist_immediately_when_the_primary_is_leaving() {
      setMembers(true);

      assertThat(PrimaryChangeNeed.of(view, 1)).contains(PrimaryChangeNeed.Cause.LEAVING);
    }

    @Test
    void should_not_exist_for_a_leaving_primary_while_a_synchronous_replica_is_unreachable() {
      view.requireReplicas(1);
      view.onUnreachable(REPLICA_1, true, 0);
      setMembers(true);
      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS)).isEmpty();

      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 5, 0), 100, 100);
      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS))
          .contains(PrimaryChangeNeed.Cause.LEAVING);
    }

    @Test
    void should_exist_once_the_primary_has_exceeded_the_silence_limit() {
      view.onUnreachable(PRIMARY, false, 100);

      assertThat(PrimaryChangeNeed.of(view, 99 + PrimaryChangeNeed.SILENT_MILLIS)).isEmpty();
      assertThat(PrimaryChangeNeed.of(view, 100 + PrimaryChangeNeed.SILENT_MILLIS))
          .contains(PrimaryChangeNeed.Cause.SILENT);
    }

    @Test
    void should_exist_earlier_when_connections_are_refused() {
      view.onUnreachable(PRIMARY, true, 100);

      assertThat(PrimaryChangeNeed.of(view, 100 + PrimaryChangeNeed.REFUSED_MILLIS))
          .contains(PrimaryChangeNeed.Cause.REFUSED);
    }

    @Test
    void should_exist_when_no_driver_completes_a_change() {
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 5, 2), 100, 100);
      view.tick(100);

      assertThat(PrimaryChangeNeed.of(view, 100 + PrimaryChangeNeed.ABANDONED_MILLIS))
          .contains(PrimaryChangeNeed.Cause.ABANDONED);
    }

    @Test
    void should_exist_when_no_driver_completes_an_announced_change() {
      view.lease().onAnnouncedTerm(2, 100, 110);
      view.tick(110);

      assertThat(PrimaryChangeNeed.of(view, 110 + PrimaryChangeNeed.ABANDONED_MILLIS))
          .contains(PrimaryChangeNeed.Cause.ABANDONED);
    }

    @Test
    void should_exist_when_an_announced_change_leaves_a_single_member_unused() {
      view.setMembers(List.of(ServiceViewTest.entry(PRIMARY, false)), 50);
      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS)).isEmpty();

      view.lease().onAnnouncedTerm(2, 100, 110);
      view.tick(110);
      assertThat(PrimaryChangeNeed.of(view, 110 + PrimaryChangeNeed.ABANDONED_MILLIS))
          .contains(PrimaryChangeNeed.Cause.ABANDONED);
    }

    @Test
    void should_not_exist_for_members_that_a_driver_has_just_fenced() {
      view.lease().onMembersKnown(0);
      view.lease().onAnnouncedTerm(0, 0, 0);
      view.onStatus(
          REPLICA_1,
          ServiceViewTest.replica(1, 5, 0),
          AFTER_ALL_TIMEOUTS_MILLIS,
          AFTER_ALL_TIMEOUTS_MILLIS);
      view.onStatus(
          REPLICA_2,
          ServiceViewTest.replica(1, 5, 0),
          AFTER_ALL_TIMEOUTS_MILLIS,
          AFTER_ALL_TIMEOUTS_MILLIS);
      view.tick(AFTER_ALL_TIMEOUTS_MILLIS);
      view.onStatus(
          REPLICA_1,
          ServiceViewTest.replica(1, 5, 2),
          AFTER_ALL_TIMEOUTS_MILLIS + 100,
          AFTER_ALL_TIMEOUTS_MILLIS + 100);
      view.tick(AFTER_ALL_TIMEOUTS_MILLIS + 100);

      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS + 200)).isEmpty();
    }
  }

  @Nested
  class WithoutKnownPrimary {
    @BeforeEach
    void reportReplicas() {
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 5, 0), 0, 0);
      view.onStatus(REPLICA_2, ServiceViewTest.replica(1, 5, 0), 0, 0);
    }

    @Test
    void should_not_exist_while_a_member_has_never_replied() {
      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS)).isEmpty();
    }

    @Test
    void should_exist_when_every_member_is_a_replica() {
      view.onStatus(PRIMARY, ServiceViewTest.replica(1, 5, 0), 10, 10);

      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS))
          .contains(PrimaryChangeNeed.Cause.UNKNOWN);
    }

    @Test
    void should_exist_when_every_member_is_a_replica_or_unreachable() {
      view.onUnreachable(PRIMARY, false, 10);

      assertThat(PrimaryChangeNeed.of(view, AFTER_ALL_TIMEOUTS_MILLIS))
          .contains(PrimaryChangeNeed.Cause.UNKNOWN);
    }

    @Test
    void should_exist_earlier_when_a_previous_driver_left_members_fenced() {
      view.onUnreachable(PRIMARY, false, 10);
      view.onStatus(REPLICA_1, ServiceViewTest.replica(1, 5, 2), 100, 100);
      view.onStatus(REPLICA_2, ServiceViewTest.replica(1, 5, 2), 100, 100);

      long afterSilenceLimit = 10 + PrimaryChangeNeed.SILENT_MILLIS;
      assertThat(PrimaryChangeNeed.of(view, afterSilenceLimit))
          .contains(PrimaryChangeNeed.Cause.ABANDONED);
    }

    @Test
    void should_not_exist_early_without_fenced_members() {
      view.onUnreachable(PRIMARY, false, 10);

      assertThat(PrimaryChangeNeed.of(view, PrimaryChangeNeed.UNKNOWN_MILLIS - 1)).isEmpty();
    }

    @Test
    void should_be_suspected_before_it_exists() {
      assertThat(PrimaryChangeNeed.suspected(view, PrimaryChangeNeed.SUSPECTED_MILLIS)).isTrue();
      assertThat(PrimaryChangeNeed.suspected(view, PrimaryChangeNeed.SUSPECTED_MILLIS - 1))
          .isFalse();
    }
  }

  /**
   * Guards against a change that replaces a primary in use: a replica reports a newer term, and
   * this host can't reach the primary of that term.
   */
  @Nested
  class WithPrimaryOfNewerTermUnseen {
    @BeforeEach
    void reportNewerTerm() {
      view.onStatus(PRIMARY, ServiceViewTest.primary(1, 5), 0, 0);
      view.onStatus(REPLICA_2, ServiceViewTest.replica(1, 5, 0), 0, 0);
      view.onUnreachable(PRIMARY, true, 100);
      view.onStatus(REPLICA_1, ServiceViewTest.replica(2, 6, 0), 4_000, 4_000);
      view.onUnreachable(REPLICA_2, false, 4_000);
    }

    @Test
    void should_not_exist_while_a_member_may_have_become_primary() {
      assertThat(PrimaryChangeNeed.of(view, 3_999 + PrimaryChangeNeed.SILENT_MILLIS)).isEmpty();
      assertThat(PrimaryChangeNeed.of(view, 4_000 + PrimaryChangeNeed.SILENT_MILLIS))
          .contains(PrimaryChangeNeed.Cause.UNKNOWN);
    }

    @Test
    void should_name_all_members_that_other_hosts_may_reach() {
      assertThat(PrimaryChangeNeed.unseenMembers(view)).containsExactly(PRIMARY, REPLICA_2);
    }
  }
}
