package org.sardinebay.session;

/** A caller's statement, parsed from its text. */
public sealed interface Statement {
  /** Whether a prepared statement reads or writes. */
  enum Access {
    /** The statement reads. */
    READ,
    /** The statement writes. */
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
   * Defines a prepared statement.
   *
   * @param name the name that the caller chose
   * @param shape its definition
   */
  record Prepare(String name, PreparedShape shape) implements Statement {}

  /**
   * Runs a prepared statement.
   *
   * @param name the name that the caller chose
   * @param arguments the rest of the statement
   */
  record Execute(String name, String arguments) implements Statement {}

  /**
   * Removes a prepared statement.
   *
   * @param name the name that the caller chose
   */
  record Deallocate(String name) implements Statement {}
}
