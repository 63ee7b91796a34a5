package org.sardinebay.session;

/** Why a statement or a session failed. */
public enum ErrorCode {
  /** No capacity; not run. */
  BUSY(true),
  /** The member's log lacks a position that the statement needs; not run. */
  LAGGING(true),
  /** The member does not accept writes; not run. */
  READ_ONLY(true),
  /** Another member answers at this address; not run. */
  WRONG_MEMBER(true),
  /** The member has no connection left; not run. */
  TOO_MANY_CONNECTIONS(true),
  /** The transaction was rolled back. */
  ABORTED(true),
  /** The member doesn't know the prepared statement; not run. */
  UNKNOWN_STATEMENT(false),
  /** The statement ran and failed. */
  FAILED(false),
  /** The statement ran or may have run, and took too long. */
  TIMEOUT(false),
  /** No route has the database's name. */
  NO_DATABASE(false),
  /** A message is longer than allowed. */
  TOO_BIG(false),
  /** A message can't be read or is not allowed in this state. */
  MALFORMED(false),
  /** A write was sent and its outcome is unknown. */
  IN_DOUBT(false),
  /** A code that this version doesn't know. */
  UNKNOWN(false);

  private final boolean nothingKept;

  ErrorCode(boolean nothingKept) {
    this.nothingKept = nothingKept;
  }

  /**
   * Whether the code promises the caller that nothing of its attempt is kept.
   *
   * @return true for a promise
   */
  public boolean nothingKept() {
    return nothingKept;
  }
}
