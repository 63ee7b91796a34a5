package org.sardinebay.internal.request;

import org.sardinebay.session.ErrorCode;

/**
 * The errors that callers receive when a statement is abandoned: what happened, whether it may have
 * had an effect, and when to retry. An abandoned read may have run at a member that did not answer,
 * so the messages promise that nothing was kept, not that nothing ran.
 *
 * <pre>{@code
 * RetryPolicy.Step.GiveUp answer = FinalAnswers.writeInDoubt();
 * }</pre>
 */
public final class FinalAnswers {
  private FinalAnswers() {}

  /**
   * A write was sent and no reliable answer arrived.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp writeInDoubt() {
    return answer(ErrorCode.IN_DOUBT, "the write was sent and its outcome is unknown");
  }

  /**
   * The commit of a transaction that wrote was sent and no answer arrived.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp commitInDoubt() {
    return answer(ErrorCode.IN_DOUBT, "the commit was sent and its outcome is unknown");
  }

  /**
   * The transaction's connection to its member was lost before the commit was sent.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp connectionToMemberLost() {
    return answer(ErrorCode.ABORTED, "rolled back: the connection to the member was lost");
  }

  /**
   * The caller's key belongs to another workspace than when the transaction began.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp workspaceChanged() {
    return answer(ErrorCode.ABORTED, "rolled back: the key belongs to another workspace now");
  }

  /**
   * The connection to the host that runs the transaction was lost before the commit was sent.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp connectionToHostLost() {
    return answer(
        ErrorCode.ABORTED, "rolled back: the connection to the transaction's host was lost");
  }

  /**
   * The host chosen to begin a transaction did not answer the first statement.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noAnswerFromTransactionHost() {
    return answer(ErrorCode.ABORTED, "rolled back: the transaction's host gave no answer");
  }

  /**
   * No connection to a member became free before the statement's deadline.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noFreeConnection() {
    return answer(
        ErrorCode.BUSY, "nothing was kept: no member had a place in time; retry in 500 ms");
  }

  /**
   * The statement would have waited for a connection to a member beyond its deadline.
   *
   * @param neverSent whether it is certain that the statement was not sent to any member
   * @param retryAfterMillis when to retry, in milliseconds
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp rejected(boolean neverSent, long retryAfterMillis) {
    return answer(
        ErrorCode.BUSY,
        (neverSent ? "not run" : "nothing was kept")
            + ": no member would have a place in time; retry in "
            + retryAfterMillis
            + " ms");
  }

  /**
   * The host is too late with its own work to take on the statement.
   *
   * @param retryAfterMillis when to retry, in milliseconds
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp hostOverloaded(long retryAfterMillis) {
    return answer(
        ErrorCode.BUSY,
        "nothing was kept: this host is overloaded; retry in " + retryAfterMillis + " ms");
  }

  /**
   * The workspace has used up its quota.
   *
   * @param retryAfterMillis when the caller should retry, in milliseconds
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp quotaUsedUp(long retryAfterMillis) {
    return answer(
        ErrorCode.BUSY,
        "not run: the quota of the workspace is used up; retry in " + retryAfterMillis + " ms");
  }

  /**
   * No home of the service (a host with connections to its members) accepted the statement.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noHomeReached() {
    return answer(
        ErrorCode.BUSY, "nothing was kept: no host with a connection to a member; retry in 500 ms");
  }

  /**
   * No home of the service (a host with connections to its members) answered a read.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noAnswerFromHome() {
    return answer(ErrorCode.TIMEOUT, "no host with a connection to a member answered in time");
  }

  /**
   * The statement could not be sent to any member.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noMemberReached() {
    return answer(ErrorCode.BUSY, "nothing was kept: no member could be reached; retry in 500 ms");
  }

  /**
   * Every member that received the statement refused to run it.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp allMembersRefused() {
    return answer(
        ErrorCode.BUSY, "nothing was kept: no member took the statement in time; retry in 500 ms");
  }

  /**
   * No member answered a read.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noMemberAnswered() {
    return answer(ErrorCode.TIMEOUT, "no member answered in time");
  }

  /**
   * The host is stopping and takes on no further statements.
   *
   * @return the answer; the statement was not sent to any member
   */
  public static RetryPolicy.Step.GiveUp hostStopping() {
    return answer(ErrorCode.BUSY, "not run: this host is stopping; retry in 0 ms");
  }

  /**
   * The host is stopping and takes on no further statements of an open transaction.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp hostStoppingInTransaction() {
    return answer(ErrorCode.ABORTED, "rolled back: this host is stopping");
  }

  /**
   * The host stops before a running statement was answered.
   *
   * @param inTransaction whether the statement belongs to a transaction, which ends with the host
   * @param writes whether the statement may write
   * @param commits whether the statement commits the transaction
   * @return the answer; it promises nothing of a write or commit that may have been sent
   */
  public static RetryPolicy.Step.GiveUp hostStopped(
      boolean inTransaction, boolean writes, boolean commits) {
    if (commits) {
      return commitInDoubt();
    }
    if (inTransaction) {
      return hostStoppingInTransaction();
    }
    return writes
        ? writeInDoubt()
        : answer(ErrorCode.TIMEOUT, "no answer arrived before this host stopped");
  }

  private static RetryPolicy.Step.GiveUp answer(ErrorCode code, String text) {
    return new RetryPolicy.Step.GiveUp(code, text);
  }
}
