package org.sardinebay.internal.request;

import org.sardinebay.session.ErrorCode;

/** What one attempt to run a statement at a member came to, if not a success. */
public sealed interface AttemptOutcome {
  /**
   * The member answered with an error.
   *
   * @param code the error
   * @param text the member's words
   */
  record Refused(ErrorCode code, String text) implements AttemptOutcome {}

  /** The connection was lost before the statement was sent. */
  record NotSent() implements AttemptOutcome {}

  /** The statement was sent and no whole answer came. */
  record NoAnswer() implements AttemptOutcome {}

  /** The answer arrived when its member could not be relied upon as the primary any more. */
  record LeaseLost() implements AttemptOutcome {}
}
