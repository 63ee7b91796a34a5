package org.sardinebay.internal.request;

import java.util.Optional;

/**
 * Decides what to do when a home of a service (a host with connections to its members) did not
 * answer a forwarded statement: try another home, or return the final answer to the caller. Covers
 * hosts that stop, hang or are partitioned.
 *
 * <pre>{@code
 * Optional<RetryPolicy.Step.GiveUp> end = ForwardPolicy.after(attempt, attempts, now, deadlineAt);
 * }</pre>
 */
public final class ForwardPolicy {
  /**
   * The maximum number of homes that one statement is sent to: the number of homes in one region,
   * plus one.
   */
  public static final int MAX_ATTEMPTS = 4;

  /**
   * An attempt that was not answered.
   *
   * @param sent whether the statement was sent, so that the home may have run it
   * @param writes whether the statement itself writes
   * @param commitsWrites whether the statement commits a transaction that wrote
   * @param transactionOpen whether the statement's transaction was open at that home
   * @param inTransaction whether the statement belongs to a transaction
   */
  public record Attempt(
      boolean sent,
      boolean writes,
      boolean commitsWrites,
      boolean transactionOpen,
      boolean inTransaction) {}

  private ForwardPolicy() {}

  /**
   * Decides whether to try another home.
   *
   * @param attempt the attempt
   * @param attempts the number of attempts so far
   * @param now the current time in milliseconds
   * @param deadlineAt the statement's deadline, in milliseconds
   * @return the final answer, empty to try another home
   */
  public static Optional<RetryPolicy.Step.GiveUp> after(
      Attempt attempt, int attempts, long now, long deadlineAt) {
    if (attempt.sent() && attempt.commitsWrites()) {
      return Optional.of(FinalAnswers.commitInDoubt());
    }
    if (attempt.transactionOpen()) {
      return Optional.of(FinalAnswers.connectionToHostLost());
    }
    if (attempt.sent() && attempt.writes()) {
      return Optional.of(
          attempt.inTransaction()
              ? FinalAnswers.noAnswerFromTransactionHost()
              : FinalAnswers.writeInDoubt());
    }
    if (attempts < MAX_ATTEMPTS && now < deadlineAt) {
      return Optional.empty();
    }
    return Optional.of(
        attempt.sent() ? FinalAnswers.noAnswerFromHome() : FinalAnswers.noHomeReached());
  }
}
