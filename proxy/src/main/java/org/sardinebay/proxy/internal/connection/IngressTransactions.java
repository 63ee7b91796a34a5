package org.sardinebay.proxy.internal.connection;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinebay.Clock;

/**
 * The open transactions whose callers come through this proxy, wherever the transactions run. A
 * graceful shutdown waits for them.
 *
 * <pre>{@code
 * entered.used(transaction);
 * entered.ended(transaction);
 * int open = entered.size();
 * }</pre>
 */
public final class IngressTransactions {
  private final Clock clock;
  private final Map<String, Use> open = new ConcurrentHashMap<>();

  /**
   * Knows of none.
   *
   * @param clock the time
   */
  public IngressTransactions(Clock clock) {
    this.clock = clock;
  }

  /**
   * Notes that a caller began a transaction through this proxy, or used it.
   *
   * @param transaction its name
   */
  public void touch(String transaction) {
    long now = clock.millis();
    open.merge(transaction, new Use(now, now), (first, latest) -> new Use(first.beganAt, now));
  }

  /**
   * Notes that a transaction ended.
   *
   * @param transaction its name
   */
  public void remove(String transaction) {
    open.remove(transaction);
  }

  /**
   * How many are open; those that are over their time are forgotten.
   *
   * @return the number
   */
  public int size() {
    long now = clock.millis();
    open.values().removeIf(use -> use.expired(now));
    return open.size();
  }

  private record Use(long beganAt, long usedAt) {
    private boolean expired(long now) {
      return now - usedAt > TransactionTable.MAX_IDLE_MILLIS
          || now - beganAt > TransactionTable.MAX_AGE_MILLIS;
    }
  }
}
