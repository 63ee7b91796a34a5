package org.sardinebay.internal.request;

import java.util.Optional;
import org.sardinebay.session.ErrorCode;

/** The outcome of an unsuccessful attempt to run a statement at a member. */
public sealed interface AttemptOutcome {
  /**
   * Whether the outcome is evidence that the member does not work properly.
   *
   * @return true if the member ran the statement and failed it, or did not answer
   */
  default boolean countsAgainstMember() {
    return this instanceof NoAnswer
        || (this instanceof Refused refused
            && (refused.code() == ErrorCode.FAILED || refused.code() == ErrorCode.TIMEOUT));
  }

  /**
   * The member answered with an error.
   *
   * @param code the error
   * @param text the member's error message
   */
  record Refused(ErrorCode code, String text) implements AttemptOutcome {}

  /** The connection was lost before the statement was sent. */
  record NotSent() implements AttemptOutcome {}

  /** The statement was sent but no complete answer arrived. */
  record NoAnswer() implements AttemptOutcome {}

  /**
   * The statement was sent, and the answer may be the one to an earlier request.
   *
   * @param code the error in the answer, empty if it was no error
   */
  record Unproven(Optional<ErrorCode> code) implements AttemptOutcome {}

  /** The answer arrived after the proxy could no longer rely on its member being the primary. */
  record LeaseLost() implements AttemptOutcome {}
}
