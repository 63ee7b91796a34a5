package org.sardinebay.internal.connection;

/** The form of the successful answer to a request, by what was asked of the member. */
public enum AnswerKind {
  /** The start of the session: a ready message alone. */
  SESSION_START,
  /** A read: rows and the member's signature. */
  READ,
  /** A write: the member's signature. */
  WRITE,
  /** A commit: the member's signature, and no transaction is open. */
  COMMIT,
  /** A change of values or prepared statements: no rows, no signature. */
  SESSION_STATE,
  /** The start of a transaction: no rows, no signature, and the transaction is open. */
  TRANSACTION_START,
  /** A rollback: no rows, no signature, and no transaction is open. */
  ROLLBACK,
  /** A control statement: the member's status in a row, no signature. */
  STATUS;

  boolean signed() {
    return this == READ || this == WRITE || this == COMMIT;
  }
}
