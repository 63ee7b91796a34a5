package org.sardinebay.internal.request;

import org.sardinebay.session.ErrorCode;

/**
 * Decides what follows a failed attempt: another attempt, or the final answer to the caller.
 *
 * <pre>{@code
 * RetryPolicy.Step step = RetryPolicy.after(outcome, writes, attempts, now, deadlineAt);
 * }</pre>
 *
 * <p>A write that was sent and got no answer is never sent again. A read may run any number of
 * times.
 */
public final class RetryPolicy {
  /** Attempts of one statement, the first included. Bounds what retries add to a member's load. */
  public static final int MAX_ATTEMPTS = 6;

  /** What follows an attempt. */
  public sealed interface Step {
    /** Try again, elsewhere if possible. */
    record Retry() implements Step {}

    /**
     * Tell the caller.
     *
     * @param code the error
     * @param text words for the caller
     */
    record GiveUp(ErrorCode code, String text) implements Step {}
  }

  private RetryPolicy() {}

  /**
   * Decides.
   *
   * @param outcome what the attempt came to
   * @param writes whether the statement may write
   * @param attempts attempts so far
   * @param now the time
   * @param deadlineAt when the statement's time is over
   * @return what follows
   */
  public static Step after(
      AttemptOutcome outcome, boolean writes, int attempts, long now, long deadlineAt) {
    boolean again = attempts < MAX_ATTEMPTS && now < deadlineAt;
    if (outcome instanceof AttemptOutcome.Refused refused) {
      return refused(refused, writes, again);
    }
    if (outcome instanceof AttemptOutcome.NotSent) {
      return again ? new Step.Retry() : FinalAnswers.noMemberReached();
    }
    if (writes) {
      return FinalAnswers.writeInDoubt();
    }
    return again ? new Step.Retry() : FinalAnswers.noMemberAnswered();
  }

  /**
   * Decides after an attempt in a transaction that has begun at a member: nothing of it is tried
   * elsewhere.
   *
   * @param outcome what the attempt came to
   * @param open whether the transaction is still open at the member
   * @param commitsWrites whether the statement commits a transaction that wrote
   * @param attempts attempts so far
   * @param now the time
   * @param deadlineAt when the statement's time is over
   * @return what follows
   */
  public static Step inTransaction(
      AttemptOutcome outcome,
      boolean open,
      boolean commitsWrites,
      int attempts,
      long now,
      long deadlineAt) {
    if (outcome instanceof AttemptOutcome.Refused refused) {
      boolean again =
          open && refused.code() == ErrorCode.BUSY && attempts < MAX_ATTEMPTS && now < deadlineAt;
      return again ? new Step.Retry() : giveUp(refused.code(), refused.text());
    }
    boolean sent = !(outcome instanceof AttemptOutcome.NotSent);
    return sent && commitsWrites
        ? FinalAnswers.commitInDoubt()
        : FinalAnswers.connectionToMemberLost();
  }

  private static Step refused(AttemptOutcome.Refused refused, boolean writes, boolean again) {
    return switch (refused.code()) {
      case BUSY, LAGGING, READ_ONLY, WRONG_MEMBER, TOO_MANY_CONNECTIONS, UNKNOWN_STATEMENT ->
          again ? new Step.Retry() : FinalAnswers.noMemberHadRoom();
      case TIMEOUT, FAILED ->
          writes || !again ? giveUp(refused.code(), refused.text()) : new Step.Retry();
      default -> giveUp(refused.code(), refused.text());
    };
  }

  private static Step giveUp(ErrorCode code, String text) {
    return new Step.GiveUp(code, text);
  }
}
