package org.sardinebay.internal.process;

/** The invariants that the programs check at run time. */
public enum InvariantName {
  /** The log of a new term contains every entry that a majority has confirmed. */
  CONFIRMED_ENTRIES_SURVIVE,
  /** A session's position never moves back. */
  SESSION_NEVER_MOVES_BACK,
  /** An answer reflects at least what the session has written and read. */
  READ_SHOWS_SESSION,
  /** A write is acknowledged only as the acknowledgement policy of its database allows. */
  ACKNOWLEDGED_BY_POLICY,
  /** A connection with an open transaction serves only that transaction. */
  CONNECTION_SERVES_ONE_TRANSACTION,
  /** A request answered as not run was never sent, or every attempt that was sent was refused. */
  NOT_RUN_WAS_NOT_SENT,
  /** A configuration record is never replaced by an earlier generation. */
  CONFIGURATION_NEVER_REVERTS,
  /** A proxy holds no more connections to a member than its share of the member's limit. */
  CONNECTIONS_WITHIN_SHARE,
  /** A term of a database has only one promotion driver. */
  TERM_HAS_ONE_DRIVER,
  /** Every request gets exactly one answer. */
  ONE_ANSWER
}
