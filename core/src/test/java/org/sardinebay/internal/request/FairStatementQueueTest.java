package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.WorkspaceId;

class FairStatementQueueTest {
  private final FairStatementQueue<String> queue =
      new FairStatementQueue<>(id -> id.filter(w -> w.value().equals("large")).isPresent() ? 2 : 1);

  private void add(String item, String workspace, int priority, long targetAt, long giveUpAt) {
    queue.add(
        item,
        new StatementDemand(
            Optional.of(new WorkspaceId(workspace)), priority, 10, false, 0, targetAt, giveUpAt));
  }

  private List<String> dispatchAll(long now) {
    List<String> dispatched = new ArrayList<>();
    queue.dispatch(now, dispatched::add);
    return dispatched;
  }

  @Nested
  class Order {
    @Test
    void should_take_workspaces_in_turn_by_weight_so_that_a_flood_delays_only_its_sender() {
      add("a1", "a", 1, 500, 400);
      add("a2", "a", 1, 500, 400);
      add("a3", "a", 1, 500, 400);
      add("b1", "b", 1, 501, 400);
      add("l1", "large", 1, 502, 400);
      add("l2", "large", 1, 502, 400);

      assertThat(dispatchAll(0)).containsExactly("a1", "b1", "l1", "l2", "a2", "a3");
    }

    @Test
    void should_put_statements_that_can_only_be_late_behind_those_that_can_be_in_time() {
      add("late", "a", 1, 105, 400);
      add("in time", "b", 1, 300, 400);

      assertThat(dispatchAll(100)).containsExactly("in time", "late");
    }

    @Test
    void should_let_a_lower_priority_overtake_for_its_share_of_the_work_and_no_more() {
      for (int i = 0; i < 120; i++) {
        add("p1", "a", 1, 1_000, 1_000);
      }
      for (int i = 0; i < 3; i++) {
        add("p2 waited", "c", 2, 1_000, 300);
      }

      assertThat(dispatchAll(150).subList(0, 50)).filteredOn("p2 waited"::equals).hasSize(2);
    }

    @Test
    void should_not_let_a_lower_priority_overtake_before_half_of_its_wait() {
      add("p2", "c", 2, 1_000, 300);
      for (int i = 0; i < 120; i++) {
        add("p1", "a", 1, 1_000, 1_000);
      }

      assertThat(dispatchAll(149)).endsWith("p2");
    }
  }

  @Nested
  class Removal {
    @Test
    void should_return_the_share_of_statements_that_were_not_placed() {
      add("a1", "a", 1, 500, 400);
      add("a2", "a", 1, 500, 400);
      add("b1", "b", 1, 501, 400);
      add("b2", "b", 1, 501, 400);
      queue.remove("a1");

      assertThat(dispatchAll(0)).containsExactly("a2", "b1", "b2");
    }

    @Test
    void should_keep_the_order_when_a_statement_stays() {
      add("a1", "a", 1, 500, 400);
      add("b1", "b", 1, 501, 500);
      queue.dispatch(0, "b1"::equals);

      assertThat(queue.size()).isEqualTo(1);
      assertThat(queue.expire(400)).containsExactly("a1");
    }
  }
}
