package org.sardinebay.session;

import java.util.Optional;
import org.sardinebay.Position;

/** A message from a member. */
public sealed interface MemberMessage {
  /**
   * The end of an answer.
   *
   * @param state the transaction's state
   * @param position the last position that the member has applied, if it states one
   */
  record Ready(TransactionState state, Optional<Position> position) implements MemberMessage {}

  /**
   * A row of the answer.
   *
   * @param text the row, opaque to the proxy
   */
  record Row(String text) implements MemberMessage {}

  /**
   * The statement succeeded.
   *
   * @param signature the member's proof of the result, a signature that is opaque to the proxy;
   *     empty unless the statement read, wrote or committed
   */
  record Done(Optional<String> signature) implements MemberMessage {}

  /**
   * The statement failed.
   *
   * @param code the error code
   * @param text the member's error message
   */
  record Failed(ErrorCode code, String text) implements MemberMessage {}

  /**
   * A message that can't be parsed.
   *
   * @param line the message
   */
  record Unreadable(String line) implements MemberMessage {}
}
