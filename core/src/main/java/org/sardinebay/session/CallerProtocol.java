package org.sardinebay.session;

import java.util.Optional;
import org.sardinebay.Position;

/** Parses and formats the messages exchanged with callers. Lines have no terminator. */
public interface CallerProtocol {
  /**
   * Parses a message.
   *
   * @param line the line
   * @return the message; {@link CallerMessage.Malformed} if it can't be parsed
   */
  CallerMessage parse(String line);

  /**
   * Formats the end of an answer.
   *
   * @param state the transaction's state
   * @param position the session's position, if it has one
   * @return the line
   */
  String ready(TransactionState state, Optional<Position> position);

  /**
   * Formats a row.
   *
   * @param text the row as the member sent it
   * @return the line
   */
  String row(String text);

  /**
   * Formats a success.
   *
   * @param signature the member's signature
   * @return the line
   */
  String done(String signature);

  /**
   * Formats a success that involved no member.
   *
   * @return the line
   */
  String doneWithoutMember();

  /**
   * Formats a failure.
   *
   * @param code the error code
   * @param text the error message for the caller
   * @return the line
   */
  String error(ErrorCode code, String text);
}
