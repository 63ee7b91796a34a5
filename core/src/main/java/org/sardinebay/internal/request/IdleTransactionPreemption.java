package org.sardinebay.internal.request;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Decides which idle transaction is rolled back while statements wait for the connections of its
 * member. Covers callers that hold open transactions without using them until no connection is left
 * for the others.
 *
 * <pre>{@code
 * Optional<T> idle = IdleTransactionPreemption.choose(candidates, transactionIdleMillis);
 * }</pre>
 */
public final class IdleTransactionPreemption {
  /** A caller that is this slow between two statements still keeps its transaction. */
  private static final long MIN_IDLE_MILLIS = 300;

  /** The share of the idle limit after which a transaction may be preempted: one in this many. */
  private static final long IDLE_LIMIT_DIVISOR = 10;

  private IdleTransactionPreemption() {}

  /**
   * A transaction that holds a connection that statements wait for.
   *
   * @param transaction the transaction
   * @param idleMillis the time since its last statement ended, in milliseconds
   * @param <T> the type of the transaction
   */
  public record Candidate<T>(T transaction, long idleMillis) {}

  /**
   * Chooses the transaction that has been idle for longest.
   *
   * @param candidates the transactions between two statements
   * @param transactionIdleMillis after how long an idle transaction is rolled back in any case, in
   *     milliseconds
   * @param <T> the type of the transactions
   * @return the transaction, empty if none has been idle for long enough
   */
  public static <T> Optional<T> choose(
      Collection<Candidate<T>> candidates, long transactionIdleMillis) {
    long least = Math.max(MIN_IDLE_MILLIS, transactionIdleMillis / IDLE_LIMIT_DIVISOR);
    return candidates.stream()
        .filter(candidate -> candidate.idleMillis > least)
        .max(Comparator.comparingLong(Candidate::idleMillis))
        .map(Candidate::transaction);
  }
}
