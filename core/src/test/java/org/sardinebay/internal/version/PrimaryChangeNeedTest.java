package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;

class PrimaryChangeNeedTest {
  private static final MemberId LEADER = ServiceViewTest.LEADER;
  private static final MemberId NEAR = ServiceViewTest.NEAR;
  private static final MemberId FAR = ServiceViewTest.FAR;
  private static final long LONG_AFTER = 60_000;

  private final ServiceView view = new ServiceView("orders", 0);

  @BeforeEach
  void addMembers() {
    setMembers(false);
  }

  private void setMembers(boolean leaderLeaves) {
    view.setMembers(
        List.of(
            ServiceViewTest.entry(LEADER, leaderLeaves),
            ServiceViewTest.entry(NEAR, false),
            ServiceViewTest.entry(FAR, false)),
        0);
  }

  @Nested
  class WithAKnownPrimary {
    @BeforeEach
    void findPrimary() {
      view.onStatus(LEADER, ServiceViewTest.primary(1, 5), 0, 0);
    }

    @Test
    void should_not_exist_while_it_answers() {
      assertThat(PrimaryChangeNeed.of(view, LONG_AFTER)).isEmpty();
    }

    @Test
    void should_exist_at_once_when_it_is_leaving() {
      setMembers(true);

      assertThat(PrimaryChangeNeed.of(view, 1)).contains(PrimaryChangeNeed.Cause.LEAVING);
    }

    @Test
    void should_exist_once_it_was_silent_for_long_enough() {
      view.onUnreachable(LEADER, false, 100);

      assertThat(PrimaryChangeNeed.of(view, 99 + PrimaryChangeNeed.SILENT_MILLIS)).isEmpty();
      assertThat(PrimaryChangeNeed.of(view, 100 + PrimaryChangeNeed.SILENT_MILLIS))
          .contains(PrimaryChangeNeed.Cause.SILENT);
    }

    @Test
    void should_exist_sooner_when_connections_are_refused() {
      view.onUnreachable(LEADER, true, 100);

      assertThat(PrimaryChangeNeed.of(view, 100 + PrimaryChangeNeed.REFUSED_MILLIS))
          .contains(PrimaryChangeNeed.Cause.REFUSED);
    }

    @Test
    void should_exist_when_nobody_finishes_a_change() {
      view.onStatus(NEAR, ServiceViewTest.replica(1, 5, 2), 100, 100);
      view.tick(100);

      assertThat(PrimaryChangeNeed.of(view, 100 + PrimaryChangeNeed.ABANDONED_MILLIS))
          .contains(PrimaryChangeNeed.Cause.ABANDONED);
    }

    @Test
    void should_not_exist_for_members_that_a_driver_has_just_fenced() {
      view.onStatus(NEAR, ServiceViewTest.replica(1, 5, 0), LONG_AFTER, LONG_AFTER);
      view.onStatus(FAR, ServiceViewTest.replica(1, 5, 0), LONG_AFTER, LONG_AFTER);
      view.tick(LONG_AFTER);
      view.onStatus(NEAR, ServiceViewTest.replica(1, 5, 2), LONG_AFTER + 100, LONG_AFTER + 100);
      view.tick(LONG_AFTER + 100);

      assertThat(PrimaryChangeNeed.of(view, LONG_AFTER + 200)).isEmpty();
    }
  }

  @Nested
  class WithoutAKnownPrimary {
    @BeforeEach
    void hearOfReplicas() {
      view.onStatus(NEAR, ServiceViewTest.replica(1, 5, 0), 0, 0);
      view.onStatus(FAR, ServiceViewTest.replica(1, 5, 0), 0, 0);
    }

    @Test
    void should_not_exist_while_a_member_was_never_heard_of() {
      assertThat(PrimaryChangeNeed.of(view, LONG_AFTER)).isEmpty();
    }

    @Test
    void should_exist_when_every_member_follows() {
      view.onStatus(LEADER, ServiceViewTest.replica(1, 5, 0), 10, 10);

      assertThat(PrimaryChangeNeed.of(view, LONG_AFTER)).contains(PrimaryChangeNeed.Cause.UNKNOWN);
    }

    @Test
    void should_exist_when_the_member_that_does_not_follow_is_silent() {
      view.onUnreachable(LEADER, false, 10);

      assertThat(PrimaryChangeNeed.of(view, LONG_AFTER)).contains(PrimaryChangeNeed.Cause.UNKNOWN);
    }

    @Test
    void should_exist_soon_when_an_earlier_driver_left_a_fence() {
      view.onUnreachable(LEADER, false, 10);
      view.onStatus(NEAR, ServiceViewTest.replica(1, 5, 2), 100, 100);
      view.onStatus(FAR, ServiceViewTest.replica(1, 5, 2), 100, 100);

      long soon = 10 + PrimaryChangeNeed.SILENT_MILLIS;
      assertThat(PrimaryChangeNeed.of(view, soon)).contains(PrimaryChangeNeed.Cause.ABANDONED);
    }

    @Test
    void should_not_exist_soon_without_a_fence() {
      view.onUnreachable(LEADER, false, 10);

      assertThat(PrimaryChangeNeed.of(view, PrimaryChangeNeed.UNKNOWN_MILLIS - 1)).isEmpty();
    }

    @Test
    void should_be_suspected_before_it_exists() {
      assertThat(PrimaryChangeNeed.suspected(view, PrimaryChangeNeed.SUSPECTED_MILLIS)).isTrue();
      assertThat(PrimaryChangeNeed.suspected(view, PrimaryChangeNeed.SUSPECTED_MILLIS - 1))
          .isFalse();
    }
  }
}
