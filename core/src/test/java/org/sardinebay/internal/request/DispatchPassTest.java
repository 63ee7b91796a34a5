package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays a queue of statements that is much longer than the free capacity. */
class DispatchPassTest {
  private static final int QUEUE_LENGTH = 200;

  private final List<Integer> tried = new ArrayList<>();
  private int idleReplicaConnections;
  private int idlePrimaryConnections;

  private List<Integer> dispatch(boolean primaryOnly) {
    DispatchPass pass = new DispatchPass(this::capacity);
    List<Integer> placed = new ArrayList<>();
    for (int i = 0; i < QUEUE_LENGTH; i++) {
      int statement = i;
      if (pass.test(primaryOnly, () -> place(statement, primaryOnly))) {
        placed.add(statement);
      }
    }
    return placed;
  }

  private DispatchPass.Capacity capacity() {
    return new DispatchPass.Capacity(
        idleReplicaConnections + idlePrimaryConnections > 0, idlePrimaryConnections > 0);
  }

  private boolean place(int statement, boolean primaryOnly) {
    tried.add(statement);
    if (!primaryOnly && idleReplicaConnections > 0) {
      idleReplicaConnections--;
      return true;
    }
    boolean placed = idlePrimaryConnections > 0;
    idlePrimaryConnections -= placed ? 1 : 0;
    return placed;
  }

  @Test
  void should_try_no_statement_while_there_is_no_capacity() {
    assertThat(dispatch(false)).isEmpty();
    assertThat(tried).isEmpty();
  }

  @Test
  void should_try_only_as_many_statements_as_there_is_capacity_for() {
    idleReplicaConnections = 2;
    idlePrimaryConnections = 1;

    assertThat(dispatch(false)).containsExactly(0, 1, 2);
    assertThat(tried).hasSize(3);
  }

  @Test
  void should_skip_statements_that_need_the_primary_while_only_replicas_have_capacity() {
    idleReplicaConnections = 2;

    assertThat(dispatch(true)).isEmpty();
    assertThat(tried).isEmpty();
  }
}
