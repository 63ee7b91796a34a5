package org.sardinebay.endpoint;

/** What a statement is, as the caller's request says it. */
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
  /** Drops the connection's transaction. */
  ROLLBACK,
  /** Enters a tombstone for an idempotency key unless the key already has an effect. */
  REVOKE
}
