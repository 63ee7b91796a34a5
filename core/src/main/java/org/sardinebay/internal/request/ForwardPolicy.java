package org.sardinebay.internal.request;

import java.util.Optional;

/**
 * Decides what follows when a home of a service gave no answer to a statement: another home, or the
 * final answer to the caller. The loads it answers are hosts that end, hang or are cut off.
 *
 * <pre>{@code
 * Optional<RetryPolicy.Step.GiveUp> end = ForwardPolicy.after(attempt, attempts, now, deadlineAt);
 * }</pre>
 */
public final class ForwardPolicy {
  /** Homes that one statement is sent to: as many as stand in one region, and one more. */
  public static final int MAX_ATTEMPTS = 4;

  /**
   * An attempt without an answer.
   *
   * @param sent whether the home may have run it
   * @param writes whether it writes by itself
   * @param commitsWrites whether it commits a transaction that wrote
   * @param openThere whether its transaction was open at that home
   * @param inTransaction whether it belongs to a transaction
   */
  public record Attempt(
      boolean sent,
      boolean writes,
      boolean commitsWrites,
      boolean openThere,
      boolean inTransaction) {}

  private ForwardPolicy() {}

  /**
   * Decides.
   *
   * @param attempt the attempt
   * @param attempts attempts so far
   * @param now the time
   * @param deadlineAt when the statement's time is over
   * @return the final answer, empty to try another home
   */
  public static Optional<RetryPolicy.Step.GiveUp> after(
      Attempt attempt, int attempts, long now, long deadlineAt) {
    if (attempt.sent() && attempt.commitsWrites()) {
      return Optional.of(FinalAnswers.commitInDoubt());
    }
    if (attempt.openThere()) {
      return Optional.of(FinalAnswers.connectionToHostLost());
    }
    if (attempt.sent() && attempt.writes()) {
      return Optional.of(
          attempt.inTransaction() ? FinalAnswers.noAnswerOfHost() : FinalAnswers.writeInDoubt());
    }
    if (attempts < MAX_ATTEMPTS && now < deadlineAt) {
      return Optional.empty();
    }
    return Optional.of(attempt.sent() ? FinalAnswers.noAnswerOfHome() : FinalAnswers.noHome());
  }
}
