package org.sardinebay.session;

import java.util.Optional;

/** A message from a caller. */
public sealed interface CallerMessage {
  /**
   * Opens the session.
   *
   * @param database the database's name
   * @param key the caller's key, if it sent one
   */
  record Start(String database, Optional<KeyDigest> key) implements CallerMessage {}

  /**
   * Requests the execution of a statement.
   *
   * @param id the request id that the caller chose
   * @param statement the statement
   */
  record Query(String id, Statement statement) implements CallerMessage {}

  /** Ends the session. */
  record Bye() implements CallerMessage {}

  /**
   * A message that can't be parsed.
   *
   * @param reason what is wrong with it
   */
  record Malformed(String reason) implements CallerMessage {}
}
