package org.sardinebay.session;

import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** Parses and formats the messages exchanged with members. Lines have no terminator. */
public interface MemberProtocol {
  /** The id of statements that the proxy itself issues. */
  String INTERNAL_STATEMENT_ID = "-";

  /**
   * Formats the message that opens a connection.
   *
   * @param service the member's service
   * @param user the workspace whose statements run on the connection, or the host that connects if
   *     there is none
   * @param member the member that is expected to answer
   * @return the line
   */
  String start(String service, String user, MemberId member);

  /**
   * Formats the request to run a statement.
   *
   * @param id the request's id
   * @param after the position that the member's log must contain, if any
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
   * The text that clears a connection's session values and prepared statements.
   *
   * @return the text
   */
  String resetText();

  /**
   * The text that requests a member's status.
   *
   * @return the text
   */
  String statusText();

  /**
   * The text that fences a replica: it stops receiving log entries.
   *
   * @param term the term of the fence
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
   * The text that demotes a primary of an older term to a replica.
   *
   * @param term the new term
   * @return the text
   */
  String demoteText(long term);

  /**
   * Parses a message.
   *
   * @param line the line
   * @return the message; {@link MemberMessage.Unreadable} if it can't be parsed
   */
  MemberMessage parse(String line);

  /**
   * Parses a row as a status.
   *
   * @param row the row's text
   * @return the status, empty if it can't be parsed
   */
  Optional<MemberStatus> status(String row);
}
