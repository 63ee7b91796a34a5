package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

class PlacementTest {
  private static final long SERVICE_MILLIS = 24;

  private static final PlacementRequirement READ_REQUIREMENT =
      new PlacementRequirement(false, Optional.of(new Position(1, 5)));

  private static PlacementCandidate member(
      String id,
      boolean primary,
      boolean available,
      long roundTripMillis,
      int busy,
      long appliedIndex) {
    return member(id, primary, available, roundTripMillis, busy, appliedIndex, false);
  }

  private static PlacementCandidate lagging(String id, long appliedIndex) {
    return member(id, false, true, 1, 0, appliedIndex, true);
  }

  private static PlacementCandidate member(
      String id,
      boolean primary,
      boolean available,
      long roundTripMillis,
      int busy,
      long appliedIndex,
      boolean lagging) {
    return new PlacementCandidate(
        new MemberId(id),
        primary,
        available,
        roundTripMillis,
        0,
        busy,
        3,
        new Position(1, appliedIndex),
        lagging,
        0,
        false);
  }

  private static Optional<String> choose(
      PlacementRequirement requirement, PlacementCandidate... members) {
    return Placement.choose(requirement, List.of(members), SERVICE_MILLIS).map(MemberId::value);
  }

  @Nested
  class Writes {
    @Test
    void should_go_to_the_primary_however_far_and_busy_it_is() {
      assertThat(
              choose(
                  PlacementRequirement.PRIMARY,
                  member("near", false, true, 1, 0, 9),
                  member("primary", true, true, 16, 9, 9)))
          .contains("primary");
    }

    @Test
    void should_find_no_member_without_a_primary() {
      assertThat(choose(PlacementRequirement.PRIMARY, member("near", false, true, 1, 0, 9)))
          .isEmpty();
    }
  }

  /** While replicas lag by seconds, most reads were refused by each of them in turn. */
  @Nested
  class LaggingReplicas {
    @Test
    void should_not_get_a_read_that_needs_a_position_they_have_just_lacked() {
      assertThat(choose(READ_REQUIREMENT, lagging("near", 4))).isEmpty();
    }

    @Test
    void should_get_a_read_whose_position_they_have_applied_since() {
      assertThat(choose(READ_REQUIREMENT, lagging("near", 5))).contains("near");
    }

    @Test
    void should_leave_reads_to_the_primary_even_if_it_is_busy() {
      assertThat(choose(READ_REQUIREMENT, lagging("near", 4), member("p", true, true, 16, 40, 9)))
          .contains("p");
    }
  }

  @Nested
  class Reads {
    @Test
    void should_go_to_the_near_replica() {
      assertThat(
              choose(
                  READ_REQUIREMENT,
                  member("far", false, true, 16, 0, 9),
                  member("near", false, true, 1, 2, 9),
                  member("primary", true, true, 1, 0, 9)))
          .contains("near");
    }

    @Test
    void should_overflow_to_a_far_replica_once_the_near_one_has_a_queue() {
      assertThat(
              choose(
                  READ_REQUIREMENT,
                  member("far", false, true, 16, 0, 9),
                  member("near", false, true, 1, 6, 9)))
          .contains("far");
    }

    @Test
    void should_prefer_a_replica_that_has_applied_the_position() {
      assertThat(
              choose(
                  READ_REQUIREMENT,
                  member("behind", false, true, 1, 0, 4),
                  member("far", false, true, 16, 0, 5)))
          .contains("far");
    }

    @Test
    void should_use_the_primary_when_no_replica_is_free() {
      assertThat(
              choose(
                  READ_REQUIREMENT,
                  member("near", false, false, 1, 0, 9),
                  member("primary", true, true, 16, 0, 9)))
          .contains("primary");
    }
  }

  /** Guards against connections that are opened although another member near by has an idle one. */
  @Nested
  class OpeningConnections {
    private static PlacementCandidate replica(String id, long roundTrip, long openCost) {
      return new PlacementCandidate(
          new MemberId(id),
          false,
          true,
          roundTrip,
          openCost,
          0,
          3,
          new Position(1, 9),
          false,
          0,
          false);
    }

    @Test
    void should_cost_more_than_a_member_in_the_same_region() {
      assertThat(choose(READ_REQUIREMENT, replica("near", 1, 26), replica("next", 3, 0)))
          .contains("next");
    }

    @Test
    void should_cost_less_than_waiting_for_many_statements_at_the_other_member() {
      PlacementCandidate busy =
          new PlacementCandidate(
              new MemberId("busy"), false, true, 1, 0, 9, 3, new Position(1, 9), false, 0, false);

      assertThat(choose(READ_REQUIREMENT, replica("near", 1, 26), busy)).contains("near");
    }
  }
}
