package org.sardinebay.proxy.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IngressTransactionsTest {
  private final AtomicLong now = new AtomicLong();
  private final IngressTransactions entered = new IngressTransactions(now::get);

  @Nested
  class Counting {
    @Test
    void should_count_a_transaction_until_it_ends() {
      entered.touch("lubbock-1~a");
      int open = entered.size();

      entered.remove("lubbock-1~a");

      assertThat(open).isEqualTo(1);
      assertThat(entered.size()).isZero();
    }

    @Test
    void should_forget_a_transaction_that_was_idle_for_too_long() {
      entered.touch("lubbock-1~a");

      now.addAndGet(TransactionTable.MAX_IDLE_MILLIS + 1);

      assertThat(entered.size()).isZero();
    }

    @Test
    void should_forget_a_transaction_that_lasted_too_long() {
      for (long at = 0; at <= TransactionTable.MAX_AGE_MILLIS + 1_000; at += 1_000) {
        now.set(at);
        entered.touch("lubbock-1~a");
      }

      assertThat(entered.size()).isZero();
    }
  }
}
