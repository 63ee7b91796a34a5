package org.sardinebay.gateway.internal.connection;

import java.util.List;
import org.sardinebay.session.ErrorCode;

/** The result of a statement as reported to the caller. */
public sealed interface SessionReply {
  /**
   * The statement succeeded on a member.
   *
   * @param rows the rows
   * @param signature the member's signature
   */
  record Success(List<String> rows, String signature) implements SessionReply {}

  /**
   * The statement failed.
   *
   * @param code the error code
   * @param text the error message for the caller
   */
  record Failure(ErrorCode code, String text) implements SessionReply {}
}
