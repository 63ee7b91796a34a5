package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.Failure;
import org.sardinebay.FailureDomain;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.RouteReason;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.internal.version.Samples;

class ReadRouterTest {
  private static final long NOW = 10_000;
  private static final MemberLoad ALL_IDLE = member -> true;

  private final DatabaseView view = new DatabaseView(Samples.DATABASE, Samples.FAIL_ON_VIOLATION);
  private final ReadRouter router = new ReadRouter(new FailureDomain("victoria-hall"));

  @BeforeEach
  void observeMembers() {
    view.observe(Samples.primary(Samples.A, 1, 1, 9), NOW, NOW);
    view.observe(Samples.replica(Samples.B, 1, 9, 9), NOW, NOW);
    view.observe(Samples.replica(Samples.C, 1, 9, 9), NOW, NOW);
  }

  private static ReadRequirement sessionPosition(long index) {
    return new ReadRequirement(Optional.of(new Position(1, index)), OptionalLong.empty());
  }

  private static ReadRequirement maximumAge(long millis) {
    return new ReadRequirement(Optional.empty(), OptionalLong.of(millis));
  }

  private ReadRoute route(ReadRequirement requirement, MemberLoad load) {
    return router.route(view, requirement, load, Set.of(), NOW);
  }

  private static MemberId member(ReadRoute route) {
    return ((ReadRoute.ToMember) route).member();
  }

  @Nested
  class Sessions {
    @Test
    void should_read_on_the_primary_without_a_session_position() {
      ReadRequirement requirement = new ReadRequirement(Optional.empty(), OptionalLong.empty());

      assertThat(member(route(requirement, ALL_IDLE))).isEqualTo(Samples.A);
    }

    @Test
    void should_prefer_the_replica_of_its_own_failure_domain() {
      ReadRoute route = route(sessionPosition(9), ALL_IDLE);

      assertThat(member(route)).isEqualTo(Samples.C);
      assertThat(((ReadRoute.ToMember) route).reason())
          .isEqualTo(RouteReason.LOCAL_REPLICA_HAS_POSITION);
    }

    @Test
    void should_go_to_the_primary_when_replicas_have_stalled() {
      long later = NOW + 200;
      view.observe(Samples.primary(Samples.A, 1, 1, 20), NOW + 1, NOW + 1);
      view.observe(Samples.primary(Samples.A, 1, 1, 20), later, later);
      view.observe(Samples.replica(Samples.B, 1, 20, 9), later, later);
      view.observe(Samples.replica(Samples.C, 1, 20, 9), later, later);

      ReadRoute route = router.route(view, sessionPosition(20), ALL_IDLE, Set.of(), later);

      assertThat(member(route)).isEqualTo(Samples.A);
    }

    @Test
    void should_skip_members_that_were_tried() {
      ReadRoute route =
          router.route(view, sessionPosition(9), ALL_IDLE, Set.of(Samples.B, Samples.C), NOW);

      assertThat(member(route)).isEqualTo(Samples.A);
    }
  }

  @Nested
  class BoundedStaleness {
    @Test
    void should_require_a_proved_position_of_replicas() {
      ReadRoute route = route(maximumAge(500), ALL_IDLE);

      assertThat(((ReadRoute.ToMember) route).minimumPosition()).isEqualTo(new Position(1, 9));
    }

    @Test
    void should_be_unavailable_when_no_majority_proves_the_age() {
      long later = NOW + 5_000;

      ReadRoute route = router.route(view, maximumAge(500), ALL_IDLE, Set.of(), later);

      assertThat(route).isEqualTo(new ReadRoute.Unavailable(new Failure.AgeNotProvable(500)));
    }
  }

  @Nested
  class Overflow {
    @Test
    void should_overflow_to_an_idle_replica_of_another_failure_domain() {
      MemberLoad localBusy = member -> !member.equals(Samples.C);

      assertThat(member(route(sessionPosition(9), localBusy))).isEqualTo(Samples.B);
    }

    @Test
    void should_queue_at_the_local_replica_when_all_are_busy() {
      MemberLoad allBusy = member -> false;

      assertThat(member(route(sessionPosition(9), allBusy))).isEqualTo(Samples.C);
    }
  }

  @Nested
  class Leaving {
    @Test
    void should_not_route_to_a_leaving_member() {
      view.observeLeaving(Samples.C);

      assertThat(member(route(sessionPosition(9), ALL_IDLE))).isEqualTo(Samples.B);
    }
  }
}
