package org.sardinebay.internal.request;

import org.sardinebay.session.ErrorCode;

/**
 * What callers are told when their statement is given up: what happened, whether anything may be
 * kept of it, and when to come back. A read that is given up may have run at a member that did not
 * answer, so the words promise that nothing was kept, not that nothing ran.
 *
 * <pre>{@code
 * RetryPolicy.Step.GiveUp answer = FinalAnswers.writeInDoubt();
 * }</pre>
 */
public final class FinalAnswers {
  private FinalAnswers() {}

  /**
   * A write was sent and got no answer that can be relied upon.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp writeInDoubt() {
    return answer(ErrorCode.IN_DOUBT, "the write was sent and its outcome is unknown");
  }

  /**
   * The commit of a transaction that wrote was sent and got no answer.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp commitInDoubt() {
    return answer(ErrorCode.IN_DOUBT, "the commit was sent and its outcome is unknown");
  }

  /**
   * A transaction lost its connection before its commit was sent.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp connectionToMemberLost() {
    return answer(ErrorCode.ABORTED, "rolled back: the connection to the member was lost");
  }

  /**
   * A transaction lost the host that held it before its commit was sent.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp connectionToHostLost() {
    return answer(
        ErrorCode.ABORTED, "rolled back: the connection to the transaction's host was lost");
  }

  /**
   * The host that was to begin a transaction gave no answer to its first statement.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noAnswerOfHost() {
    return answer(ErrorCode.ABORTED, "rolled back: the transaction's host gave no answer");
  }

  /**
   * No member had a place for the statement while it could wait.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noPlace() {
    return answer(
        ErrorCode.BUSY, "nothing was kept: no member had a place in time; retry in 500 ms");
  }

  /**
   * No host took the statement that has connections to the service's members.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noHome() {
    return answer(
        ErrorCode.BUSY, "nothing was kept: no host with a connection to a member; retry in 500 ms");
  }

  /**
   * No host with connections to the service's members answered a read.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noAnswerOfHome() {
    return answer(ErrorCode.TIMEOUT, "no host with a connection to a member answered in time");
  }

  /**
   * The statement could be sent to no member.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noMemberReached() {
    return answer(ErrorCode.BUSY, "nothing was kept: no member could be reached; retry in 500 ms");
  }

  /**
   * Every member that was asked refused to run the statement.
   *
   * @return the answer
   */
  public static RetryPolicy.Step.GiveUp noMemberHadRoom() {
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

  private static RetryPolicy.Step.GiveUp answer(ErrorCode code, String text) {
    return new RetryPolicy.Step.GiveUp(code, text);
  }
}
