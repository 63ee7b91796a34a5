package org.sardinebay;

/** The kind of a caller's request. The caller states it, so that proxies don't parse statements. */
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
  /** Rolls back a transaction. */
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
