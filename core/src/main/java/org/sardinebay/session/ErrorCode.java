package org.sardinebay.session;

/** Why a statement or a session failed. */
public enum ErrorCode {
  /** There is no capacity; the statement was not run. */
  BUSY,
  /** The member's log lacks a position that the statement needs; the statement was not run. */
  LAGGING,
  /** The member does not accept writes; the statement was not run. */
  READ_ONLY,
  /** Another member answers at this address; the statement was not run. */
  WRONG_MEMBER,
  /** The member has no connection left; the statement was not run. */
  TOO_MANY_CONNECTIONS,
  /** The transaction was rolled back. */
  ABORTED,
  /** The member doesn't know the prepared statement; the statement was not run. */
  UNKNOWN_STATEMENT,
  /** The statement ran and failed. */
  FAILED,
  /** The statement ran or may have run, and exceeded its timeout. */
  TIMEOUT,
  /** The caller's key is missing, unknown or withdrawn. */
  NOT_AUTHORIZED,
  /** No route is configured for the database's name. */
  NO_DATABASE,
  /** A message is longer than allowed. */
  TOO_BIG,
  /** A message can't be parsed or is not allowed in this state. */
  MALFORMED,
  /** A write was sent and its outcome is unknown. */
  IN_DOUBT,
  /** A code that this version doesn't know. */
  UNKNOWN
}
