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
  record Success(List<String> rows, String signature) implements SessionReply {
    /** In place of a signature, from hosts of older versions. */
    private static final String NO_SIGNATURE = "-";

    /**
     * Whether the member has signed the answer.
     *
     * @return false if the success is not proven
     */
    public boolean signed() {
      return !signature.isEmpty() && !signature.equals(NO_SIGNATURE);
    }
  }

  /**
   * The statement failed.
   *
   * @param code the error code
   * @param text the error message for the caller
   */
  record Failure(ErrorCode code, String text) implements SessionReply {}
}
