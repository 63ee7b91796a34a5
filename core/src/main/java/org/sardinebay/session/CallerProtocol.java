package org.sardinebay.session;

import java.util.Optional;
import org.sardinebay.Position;

/** Reads and writes the messages exchanged with callers. Lines carry no terminator. */
public interface CallerProtocol {
  /**
   * Reads a message.
   *
   * @param line the line
   * @return the message; {@link CallerMessage.Malformed} if it can't be read
   */
  CallerMessage parse(String line);

  /**
   * Writes the end of an answer.
   *
   * @param state the transaction's state
   * @param position the session's position, if it has one
   * @return the line
   */
  String ready(TransactionState state, Optional<Position> position);

  /**
   * Writes a row.
   *
   * @param text the row as the member sent it
   * @return the line
   */
  String row(String text);

  /**
   * Writes a success.
   *
   * @param signature the member's signature
   * @return the line
   */
  String done(String signature);

  /**
   * Writes a success that no member took part in.
   *
   * @return the line
   */
  String doneWithoutMember();

  /**
   * Writes a failure.
   *
   * @param code why
   * @param text words for the caller
   * @return the line
   */
  String error(ErrorCode code, String text);
}
