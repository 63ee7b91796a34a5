package org.sardinebay;

/** What a caller's request is; no proxy parses statements to find out. */
public enum RequestKind {
  /** A read outside a transaction. */
  READ,
  /** A single write. */
  WRITE,
  /** Starts a transaction. */
  BEGIN,
  /** A statement inside a transaction. */
  STATEMENT,
  /** Commits a transaction. */
  COMMIT,
  /** Drops a transaction. */
  ROLLBACK;

  /**
   * Whether a request of this kind belongs to an open transaction.
   *
   * @return true for statement, commit and rollback
   */
  public boolean insideTransaction() {
    return this == STATEMENT || this == COMMIT || this == ROLLBACK;
  }
}
