package org.sardinebay.endpoint;

/** Why a member refused a call. A refused call did not run and will not. */
public enum EndpointRefusal {
  /** All connections are taken. */
  CONNECTION_LIMIT,
  /** The member is closing down. */
  LEAVING,
  /** No such connection; it was closed, or was silent for too long. */
  UNKNOWN_CONNECTION,
  /** The connection has no transaction, or has one already. */
  TRANSACTION_STATE,
  /** The member does not lead the term that the call names. */
  NOT_PRIMARY,
  /** The member has seen a newer term. */
  STALE_TERM,
  /** The read's least position is not applied yet, after the wait allowed. */
  BEHIND,
  /** The read's least position is on no branch of the log any more. */
  BRANCH_LOST,
  /** The transaction conflicts with a later write. */
  CONFLICT,
  /** The key stands for another request already. */
  KEY_REUSED,
  /** The key was revoked. */
  REVOKED,
  /** No slot came free before the call's deadline. */
  SLOT_TIMEOUT,
  /** The statement can't be read. */
  BAD_STATEMENT,
  /** The call itself can't be read. */
  BAD_CALL
}
