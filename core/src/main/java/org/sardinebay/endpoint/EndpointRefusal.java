package org.sardinebay.endpoint;

/** The reason why a member refused a call. A refused call did not run and will not run later. */
public enum EndpointRefusal {
  /** The member's connection limit is reached. */
  CONNECTION_LIMIT,
  /** The member is shutting down. */
  LEAVING,
  /** The connection does not exist: it was closed, or was idle for too long. */
  UNKNOWN_CONNECTION,
  /** The connection has no open transaction, or already has one. */
  TRANSACTION_STATE,
  /** The member is not the primary of the term that the call states. */
  NOT_PRIMARY,
  /** The member has seen a newer term. */
  STALE_TERM,
  /** The position that the read requires is still not applied after the allowed wait. */
  BEHIND,
  /** The position that the read requires is no longer on any branch of the log. */
  BRANCH_LOST,
  /** The transaction conflicts with a later write. */
  CONFLICT,
  /** The idempotency key was already used for a different request. */
  KEY_REUSED,
  /** The idempotency key was revoked. */
  REVOKED,
  /** No slot became free before the call's deadline. */
  SLOT_TIMEOUT,
  /** The statement can't be parsed. */
  BAD_STATEMENT,
  /** The call itself can't be parsed. */
  BAD_CALL
}
