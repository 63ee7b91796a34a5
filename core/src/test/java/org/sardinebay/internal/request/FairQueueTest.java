package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.CallerId;

class FairQueueTest {
  private static final CallerId BUSY_CALLER = new CallerId("busy");
  private static final CallerId OTHER_CALLER = new CallerId("other");
  private static final long NO_DEADLINE = Long.MAX_VALUE;

  private final FairQueue<String> queue = new FairQueue<>(4);

  @Nested
  class RoundRobin {
    @Test
    void should_serve_callers_round_robin() {
      queue.offer(BUSY_CALLER, "busy1", NO_DEADLINE);
      queue.offer(BUSY_CALLER, "busy2", NO_DEADLINE);
      queue.offer(OTHER_CALLER, "other1", NO_DEADLINE);

      assertThat(queue.poll()).contains("busy1");
      assertThat(queue.poll()).contains("other1");
      assertThat(queue.poll()).contains("busy2");
      assertThat(queue.poll()).isEmpty();
    }
  }

  @Nested
  class Bounds {
    @Test
    void should_displace_the_last_item_of_the_caller_with_the_most_items_when_full() {
      for (int i = 1; i <= 4; i++) {
        queue.offer(BUSY_CALLER, "busy" + i, NO_DEADLINE);
      }

      assertThat(queue.offer(OTHER_CALLER, "other1", NO_DEADLINE)).contains("busy4");
      assertThat(queue.size()).isEqualTo(4);
    }

    @Test
    void should_reject_a_new_item_of_the_caller_with_the_most_items_when_full() {
      for (int i = 1; i <= 4; i++) {
        queue.offer(BUSY_CALLER, "busy" + i, NO_DEADLINE);
      }

      assertThat(queue.offer(BUSY_CALLER, "busy5", NO_DEADLINE)).contains("busy5");
    }
  }

  @Nested
  class Deadlines {
    @Test
    void should_return_expired_items() {
      queue.offer(BUSY_CALLER, "expired", 10);
      queue.offer(BUSY_CALLER, "waiting", 20);

      assertThat(queue.expire(10)).containsExactly("expired");
      assertThat(queue.size()).isEqualTo(1);
      assertThat(queue.poll()).contains("waiting");
    }
  }
}
