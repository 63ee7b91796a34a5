package org.sardinebay.proxy.internal.connection;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinebay.Clock;

/**
 * The open transactions used by callers through this proxy, whichever proxy runs them. A graceful
 * shutdown waits for them.
 *
 * <pre>{@code
 * transactions.touch(id);
 * transactions.remove(id);
 * int open = transactions.size();
 * }</pre>
 */
public final class IngressTransactions {
  private final Clock clock;
  private final Map<String, Usage> open = new ConcurrentHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param clock the time source
   */
  public IngressTransactions(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that a caller began or used a transaction through this proxy.
   *
   * @param transaction the transaction id
   */
  public void touch(String transaction) {
    long now = clock.millis();
    open.merge(transaction, new Usage(now, now), (first, latest) -> new Usage(first.beganAt, now));
  }

  /**
   * Removes a transaction that has ended.
   *
   * @param transaction the transaction id
   */
  public void remove(String transaction) {
    open.remove(transaction);
  }

  /**
   * Removes the transactions that exceed the idle time or the maximum duration, and counts the
   * others.
   *
   * @return the number of open transactions
   */
  public int size() {
    long now = clock.millis();
    open.values().removeIf(usage -> usage.expired(now));
    return open.size();
  }

  private record Usage(long beganAt, long usedAt) {
    private boolean expired(long now) {
      return now - usedAt > TransactionTable.MAX_IDLE_MILLIS
          || now - beganAt > TransactionTable.MAX_AGE_MILLIS;
    }
  }
}
