package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.CallerId;

class FairQueueTest {
  private static final CallerId GREEDY = new CallerId("greedy");
  private static final CallerId MODEST = new CallerId("modest");
  private static final long FOREVER = Long.MAX_VALUE;

  private final FairQueue<String> queue = new FairQueue<>(4);

  @Nested
  class RoundRobin {
    @Test
    void should_serve_callers_round_robin() {
      queue.offer(GREEDY, "g1", FOREVER);
      queue.offer(GREEDY, "g2", FOREVER);
      queue.offer(MODEST, "m1", FOREVER);

      assertThat(queue.poll()).contains("g1");
      assertThat(queue.poll()).contains("m1");
      assertThat(queue.poll()).contains("g2");
      assertThat(queue.poll()).isEmpty();
    }
  }

  @Nested
  class Bounds {
    @Test
    void should_displace_the_last_item_of_the_caller_with_the_most_items_when_full() {
      for (int i = 1; i <= 4; i++) {
        queue.offer(GREEDY, "g" + i, FOREVER);
      }

      assertThat(queue.offer(MODEST, "m1", FOREVER)).contains("g4");
      assertThat(queue.size()).isEqualTo(4);
    }

    @Test
    void should_reject_a_new_item_of_the_caller_with_the_most_items_when_full() {
      for (int i = 1; i <= 4; i++) {
        queue.offer(GREEDY, "g" + i, FOREVER);
      }

      assertThat(queue.offer(GREEDY, "g5", FOREVER)).contains("g5");
    }
  }

  @Nested
  class Deadlines {
    @Test
    void should_return_expired_items() {
      queue.offer(GREEDY, "late", 10);
      queue.offer(GREEDY, "early", 20);

      assertThat(queue.expire(10)).containsExactly("late");
      assertThat(queue.size()).isEqualTo(1);
      assertThat(queue.poll()).contains("early");
    }
  }
}
