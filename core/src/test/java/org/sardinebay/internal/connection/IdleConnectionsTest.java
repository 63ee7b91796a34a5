package org.sardinebay.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.WorkspaceId;

class IdleConnectionsTest {
  private static final Optional<WorkspaceId> GOZI = Optional.of(new WorkspaceId("gozi"));
  private static final Optional<WorkspaceId> WADI = Optional.of(new WorkspaceId("wadi"));
  private static final Optional<WorkspaceId> NONE = Optional.empty();

  private final IdleConnections<String> idle = new IdleConnections<>();

  private static IdleConnections.Claim claim(
      Optional<WorkspaceId> workspace, Predicate<Optional<WorkspaceId>> awaited, boolean starved) {
    return new IdleConnections.Claim(workspace, awaited, starved);
  }

  @BeforeEach
  void addConnections() {
    idle.add("host-old", NONE, 1);
    idle.add("wadi", WADI, 2);
    idle.add("gozi-old", GOZI, 3);
    idle.add("gozi-new", GOZI, 4);
    idle.add("host-new", NONE, 5);
  }

  @Nested
  class Taking {
    @Test
    void should_find_only_connections_of_the_workspace() {
      assertThat(idle.take(WADI, c -> c.startsWith("gozi"))).contains("wadi");
      assertThat(idle.take(WADI, c -> true)).isEmpty();
      assertThat(idle.has(WADI)).isFalse();
    }

    @Test
    void should_prefer_a_connection_that_needs_no_preparation() {
      assertThat(idle.take(GOZI, "gozi-old"::equals)).contains("gozi-old");
    }

    @Test
    void should_let_connections_of_a_workspace_in_excess_grow_old() {
      assertThat(idle.take(GOZI, c -> false)).contains("gozi-new");
    }

    @Test
    void should_keep_session_values_on_connections_of_the_host() {
      assertThat(idle.take(NONE, c -> false)).contains("host-old");
    }
  }

  @Nested
  class Replacing {
    @Test
    void should_choose_the_least_recently_used_of_another_workspace() {
      assertThat(idle.replaceable(claim(NONE, awaited -> false, false))).contains("wadi");
      assertThat(idle.replaceable(claim(GOZI, awaited -> false, false))).contains("host-old");
    }

    @Test
    void should_not_choose_a_connection_that_statements_wait_for() {
      assertThat(idle.replaceable(claim(GOZI, NONE::equals, false))).contains("wadi");
      assertThat(idle.replaceable(claim(GOZI, awaited -> true, false))).isEmpty();
    }

    @Test
    void should_first_choose_a_connection_that_only_control_statements_have_used() {
      IdleConnections.Idle<String> taken = idle.takeOldest(any -> true).orElseThrow();
      idle.addUnused(taken);

      assertThat(idle.replaceable(claim(GOZI, awaited -> false, false))).contains("host-old");
    }

    /** Guards against workspaces that take each other's connections before a statement ran. */
    @Test
    void should_not_choose_a_new_connection_even_for_a_starved_workspace() {
      IdleConnections<String> few = new IdleConnections<>();
      few.addNew("new", WADI, 1);
      assertThat(few.replaceable(claim(GOZI, WADI::equals, true))).isEmpty();
      few.add("used", WADI, 2);
      assertThat(few.replaceable(claim(GOZI, WADI::equals, true))).contains("used");
    }
  }
}
