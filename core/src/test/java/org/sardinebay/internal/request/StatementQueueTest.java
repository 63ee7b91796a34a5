package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StatementQueueTest {
  private final StatementQueue<String> queue = new StatementQueue<>();

  private void add(String item, int priority, long giveUpAt) {
    queue.add(
        item, new StatementDemand(Optional.empty(), priority, 10, false, 0, giveUpAt, giveUpAt));
  }

  @Test
  void should_dispatch_by_priority_and_then_by_deadline() {
    add("late", 2, 900);
    add("soon", 2, 500);
    add("urgent", 1, 900);
    List<String> dispatched = new ArrayList<>();
    queue.dispatch(0, dispatched::add);

    assertThat(dispatched).containsExactly("urgent", "soon", "late");
    assertThat(queue.size()).isZero();
  }

  @Test
  void should_keep_items_that_are_not_dispatched() {
    add("a", 1, 500);
    add("b", 1, 600);
    queue.dispatch(0, item -> item.equals("b"));

    assertThat(queue.expire(1_000)).containsExactly("a");
  }

  @Test
  void should_remove_only_expired_items() {
    add("a", 1, 500);
    add("b", 1, 600);

    assertThat(queue.expire(500)).containsExactly("a");
    assertThat(queue.size()).isEqualTo(1);
  }
}
