package org.sardinebay.session;

import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** Reads and writes the messages exchanged with members. Lines carry no terminator. */
public interface MemberProtocol {
  /** The id of statements that the proxy issues itself. */
  String OWN_ID = "-";

  /**
   * Opens a connection.
   *
   * @param service the member's service
   * @param host who connects
   * @param member the member that is expected to answer
   * @return the line
   */
  String start(String service, String host, MemberId member);

  /**
   * Asks for a statement.
   *
   * @param id the request's id
   * @param after the position that the member's log must hold, if any
   * @param text the statement's text
   * @return the line
   */
  String query(String id, Optional<Position> after, String text);

  /**
   * The text of a statement.
   *
   * @param statement the statement
   * @return the text
   */
  String text(Statement statement);

  /**
   * The text that clears a connection's values and prepared statements.
   *
   * @return the text
   */
  String resetText();

  /**
   * The text that asks for a member's status.
   *
   * @return the text
   */
  String statusText();

  /**
   * The text that stops a replica from receiving.
   *
   * @param term the fence's term
   * @return the text
   */
  String fenceText(long term);

  /**
   * The text that lifts a fence.
   *
   * @return the text
   */
  String unfenceText();

  /**
   * The text that makes a primary of an older term a replica.
   *
   * @param term the new term
   * @return the text
   */
  String demoteText(long term);

  /**
   * Reads a message.
   *
   * @param line the line
   * @return the message; {@link MemberMessage.Unreadable} if it can't be read
   */
  MemberMessage parse(String line);

  /**
   * Reads a row as a status.
   *
   * @param row the row's text
   * @return the status, empty if it can't be read
   */
  Optional<MemberStatus> status(String row);
}
