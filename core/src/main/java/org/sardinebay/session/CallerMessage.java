package org.sardinebay.session;

/** A message from a caller. */
public sealed interface CallerMessage {
  /**
   * Opens the session.
   *
   * @param database the database's name
   */
  record Start(String database) implements CallerMessage {}

  /**
   * Asks for a statement to be run.
   *
   * @param id the caller's name for the request
   * @param statement the statement
   */
  record Query(String id, Statement statement) implements CallerMessage {}

  /** Ends the session. */
  record Bye() implements CallerMessage {}

  /**
   * A message that can't be read.
   *
   * @param reason what is wrong with it
   */
  record Malformed(String reason) implements CallerMessage {}
}
