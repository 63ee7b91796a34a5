package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StatementQueueTest {
  private final StatementQueue<String> queue = new StatementQueue<>();

  @Test
  void should_dispatch_by_priority_and_then_by_deadline() {
    queue.add("late", 2, 900);
    queue.add("soon", 2, 500);
    queue.add("urgent", 1, 900);
    List<String> dispatched = new ArrayList<>();
    queue.dispatch(dispatched::add);

    assertThat(dispatched).containsExactly("urgent", "soon", "late");
    assertThat(queue.size()).isZero();
  }

  @Test
  void should_keep_items_that_are_not_dispatched() {
    queue.add("a", 1, 500);
    queue.add("b", 1, 600);
    queue.dispatch(item -> item.equals("b"));

    assertThat(queue.expire(1_000)).containsExactly("a");
  }

  @Test
  void should_remove_only_expired_items() {
    queue.add("a", 1, 500);
    queue.add("b", 1, 600);

    assertThat(queue.expire(500)).containsExactly("a");
    assertThat(queue.size()).isEqualTo(1);
  }
}
