package org.sardinebay.endpoint;

/** The kind of a statement, as stated in the caller's request. */
public enum StatementKind {
  /** A read outside a transaction. */
  READ,
  /** A single write, committed with its idempotency key. */
  WRITE,
  /** Starts a transaction on the connection. */
  BEGIN,
  /** A statement inside the connection's transaction. */
  STATEMENT,
  /** Commits the connection's transaction with its idempotency key. */
  COMMIT,
  /** Rolls back the connection's transaction. */
  ROLLBACK,
  /** Records a tombstone for an idempotency key, unless the key already has an effect. */
  REVOKE
}
