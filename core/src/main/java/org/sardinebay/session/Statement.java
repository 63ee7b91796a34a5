package org.sardinebay.session;

/** A statement of a caller, read from its text. */
public sealed interface Statement {
  /** What a prepared statement does. */
  enum Access {
    /** It reads. */
    READ,
    /** It writes. */
    WRITE
  }

  /**
   * Opens a transaction.
   *
   * @param readOnly whether the transaction only reads
   */
  record Begin(boolean readOnly) implements Statement {}

  /** Commits the transaction. */
  record Commit() implements Statement {}

  /** Rolls the transaction back. */
  record Rollback() implements Statement {}

  /**
   * Reads an item.
   *
   * @param text the statement as the caller wrote it
   */
  record Read(String text) implements Statement {}

  /**
   * Writes an item.
   *
   * @param text the statement as the caller wrote it
   */
  record Write(String text) implements Statement {}

  /**
   * Sets a session value.
   *
   * @param name the value's name
   * @param value the value
   */
  record SetValue(String name, String value) implements Statement {}

  /**
   * Names a prepared statement.
   *
   * @param name the caller's name for it
   * @param shape what it does
   */
  record Prepare(String name, PreparedShape shape) implements Statement {}

  /**
   * Runs a prepared statement.
   *
   * @param name the caller's name for it
   * @param arguments the rest of the statement
   */
  record Execute(String name, String arguments) implements Statement {}

  /**
   * Forgets a prepared statement.
   *
   * @param name the caller's name for it
   */
  record Deallocate(String name) implements Statement {}
}
