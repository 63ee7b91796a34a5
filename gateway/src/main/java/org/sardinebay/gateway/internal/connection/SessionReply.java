package org.sardinebay.gateway.internal.connection;

import java.util.List;
import org.sardinebay.session.ErrorCode;

/** What a statement came to, as the caller is told. */
public sealed interface SessionReply {
  /**
   * It succeeded at a member.
   *
   * @param rows its rows
   * @param signature the member's signature
   */
  record Success(List<String> rows, String signature) implements SessionReply {}

  /**
   * It failed.
   *
   * @param code why
   * @param text words for the caller
   */
  record Failure(ErrorCode code, String text) implements SessionReply {}
}
