package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.Statement;

class SessionSyncTest {
  private static final PreparedShape SHAPE = new PreparedShape(Statement.Access.READ, "q1");

  @Test
  void should_need_no_step_for_a_connection_in_the_right_state() {
    assertThat(
            SessionSync.steps(
                Map.of("zone", "a"), Set.of(SHAPE), Map.of("zone", "a"), Optional.of(SHAPE)))
        .isEmpty();
  }

  @Test
  void should_set_only_values_that_differ() {
    assertThat(
            SessionSync.steps(
                Map.of("zone", "a", "role", "x"),
                Set.of(),
                Map.of("zone", "b", "role", "x"),
                Optional.empty()))
        .containsExactly(new SessionSync.Step.SetValue("zone", "b"));
  }

  @Test
  void should_reset_a_connection_with_values_that_the_session_lacks() {
    assertThat(
            SessionSync.steps(
                Map.of("zone", "a"), Set.of(SHAPE), Map.of("role", "x"), Optional.of(SHAPE)))
        .containsExactly(
            new SessionSync.Step.Reset(),
            new SessionSync.Step.SetValue("role", "x"),
            new SessionSync.Step.Prepare(SHAPE));
  }

  @Test
  void should_prepare_a_statement_that_the_connection_lacks() {
    assertThat(SessionSync.steps(Map.of(), Set.of(), Map.of(), Optional.of(SHAPE)))
        .containsExactly(new SessionSync.Step.Prepare(SHAPE));
  }
}
