package org.sardinebay.internal.request;

import java.util.Optional;
import org.sardinebay.session.ErrorCode;

/**
 * Decides whether a failed attempt is retried or its error is returned to the caller.
 *
 * <pre>{@code
 * RetryPolicy.Step step = RetryPolicy.after(outcome, writes, attempts, now, deadlineAt);
 * }</pre>
 *
 * <p>A write that was sent and not answered is never sent again, since it may have run. A read may
 * run any number of times.
 */
public final class RetryPolicy {
  /**
   * The maximum number of attempts per statement, including the first. Bounds the load that retries
   * add to a member.
   */
  public static final int MAX_ATTEMPTS = 6;

  /** What to do after an attempt. */
  public sealed interface Step {
    /** Try again, at another member if possible. */
    record Retry() implements Step {}

    /**
     * Return an error to the caller.
     *
     * @param code the error
     * @param text the error message for the caller
     */
    record GiveUp(ErrorCode code, String text) implements Step {}
  }

  private RetryPolicy() {}

  /**
   * Decides after a failed attempt outside a transaction, or one that begins a transaction.
   *
   * @param outcome the outcome of the attempt
   * @param writes whether the statement may write
   * @param attempts the number of attempts so far
   * @param now the current time in milliseconds
   * @param deadlineAt the statement's deadline, in milliseconds
   * @return what to do next
   */
  public static Step after(
      AttemptOutcome outcome, boolean writes, int attempts, long now, long deadlineAt) {
    boolean mayRetry = attempts < MAX_ATTEMPTS && now < deadlineAt;
    if (outcome instanceof AttemptOutcome.Refused refused) {
      return refused(refused, writes, mayRetry);
    }
    if (outcome instanceof AttemptOutcome.NotSent) {
      return mayRetry ? new Step.Retry() : FinalAnswers.noMemberReached();
    }
    if (writes) {
      return FinalAnswers.writeInDoubt();
    }
    return mayRetry ? new Step.Retry() : FinalAnswers.noMemberAnswered();
  }

  /**
   * Decides after a failed attempt in a transaction that has begun at a member. Its statements are
   * never retried at another member.
   *
   * @param outcome the outcome of the attempt
   * @param open whether the transaction is still open at the member
   * @param commits whether the statement commits the transaction
   * @param wrote whether the transaction wrote
   * @param attempts the number of attempts so far
   * @param now the current time in milliseconds
   * @param deadlineAt the statement's deadline, in milliseconds
   * @return what to do next
   */
  public static Step inTransaction(
      AttemptOutcome outcome,
      boolean open,
      boolean commits,
      boolean wrote,
      int attempts,
      long now,
      long deadlineAt) {
    boolean mayRetry = open && attempts < MAX_ATTEMPTS && now < deadlineAt;
    if (outcome instanceof AttemptOutcome.Refused refused) {
      return mayRetry && refused.code() == ErrorCode.BUSY
          ? new Step.Retry()
          : giveUp(refused.code(), refused.text());
    }
    // A commit is the last request of its connection, and the outcome of one attempt is that of the
    // transaction, so a late answer to an earlier attempt does no harm.
    if (mayRetry
        && commits
        && outcome instanceof AttemptOutcome.Unproven unproven
        && unproven.code().equals(Optional.of(ErrorCode.BUSY))) {
      return new Step.Retry();
    }
    boolean sent = !(outcome instanceof AttemptOutcome.NotSent);
    return sent && commits && wrote
        ? FinalAnswers.commitInDoubt()
        : FinalAnswers.connectionToMemberLost();
  }

  private static Step refused(AttemptOutcome.Refused refused, boolean writes, boolean mayRetry) {
    return switch (refused.code()) {
      case BUSY, LAGGING, READ_ONLY, WRONG_MEMBER, TOO_MANY_CONNECTIONS, UNKNOWN_STATEMENT ->
          mayRetry ? new Step.Retry() : FinalAnswers.allMembersRefused();
      case TIMEOUT, FAILED ->
          writes || !mayRetry ? giveUp(refused.code(), refused.text()) : new Step.Retry();
      case UNKNOWN -> writes ? FinalAnswers.writeInDoubt() : giveUp(refused.code(), refused.text());
      default -> giveUp(refused.code(), refused.text());
    };
  }

  private static Step giveUp(ErrorCode code, String text) {
    return new Step.GiveUp(code, text);
  }
}
