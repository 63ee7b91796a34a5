package org.sardinebay.proxy.internal.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IngressTransactionsTest {
  private final AtomicLong now = new AtomicLong();
  private final IngressTransactions transactions = new IngressTransactions(now::get);

  @Nested
  class Counting {
    @Test
    void should_count_a_transaction_until_it_ends() {
      transactions.touch("lubbock-1~a");
      int open = transactions.size();

      transactions.remove("lubbock-1~a");

      assertThat(open).isEqualTo(1);
      assertThat(transactions.size()).isZero();
    }

    @Test
    void should_forget_a_transaction_that_was_idle_for_too_long() {
      transactions.touch("lubbock-1~a");

      now.addAndGet(TransactionTable.MAX_IDLE_MILLIS + 1);

      assertThat(transactions.size()).isZero();
    }

    @Test
    void should_forget_a_transaction_that_lasted_too_long() {
      for (long at = 0; at <= TransactionTable.MAX_AGE_MILLIS + 1_000; at += 1_000) {
        now.set(at);
        transactions.touch("lubbock-1~a");
      }

      assertThat(transactions.size()).isZero();
    }
  }
}
