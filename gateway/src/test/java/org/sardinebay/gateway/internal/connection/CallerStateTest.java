package org.sardinebay.gateway.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.Statement;

/** Guards against a caller that fills the memory with SET and PREPARE. */
class CallerStateTest {
  private static final String LARGE = "x".repeat(CallerState.MAX_SIZE / 2);

  private final CallerState state = new CallerState();

  private static Statement.Prepare prepare(String name, String shape) {
    return new Statement.Prepare(name, new PreparedShape(Statement.Access.READ, shape));
  }

  @Test
  void should_refuse_values_and_prepared_statements_beyond_its_maximum_size() {
    assertThat(state.set(new Statement.SetValue("a", LARGE))).isTrue();

    assertThat(state.set(new Statement.SetValue("b", LARGE))).isFalse();
    assertThat(state.prepare(prepare("p", LARGE))).isFalse();
    assertThat(state.values()).containsOnlyKeys("a");
  }

  @Test
  void should_refuse_short_entries_without_end() {
    int accepted = 0;
    while (accepted < CallerState.MAX_SIZE
        && state.set(new Statement.SetValue("n" + accepted, ""))) {
      accepted++;
    }

    assertThat(accepted).isLessThan(CallerState.MAX_SIZE / 60);
  }

  @Test
  void should_accept_an_entry_that_replaces_one_of_the_same_size() {
    for (int i = 0; i < 10; i++) {
      assertThat(state.set(new Statement.SetValue("a", LARGE))).isTrue();
    }
  }

  @Test
  void should_have_room_again_after_a_statement_was_deallocated() {
    assertThat(state.prepare(prepare("p", LARGE))).isTrue();
    state.deallocate(new Statement.Deallocate("p"));

    assertThat(state.set(new Statement.SetValue("a", LARGE))).isTrue();
  }
}
