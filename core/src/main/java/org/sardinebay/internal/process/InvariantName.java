package org.sardinebay.internal.process;

/** What must always hold, as the programs check it while they run. */
public enum InvariantName {
  /** A new term's log has every entry that a majority confirmed before. */
  CONFIRMED_ENTRIES_SURVIVE,
  /** A session's position never moves back. */
  SESSION_NEVER_MOVES_BACK,
  /** An answer shows at least what the session wrote and read. */
  READ_SHOWS_SESSION,
  /** A write is acknowledged only as its database's policy allows. */
  ACKNOWLEDGED_BY_POLICY,
  /** A connection in a transaction serves that transaction only. */
  CONNECTION_SERVES_ONE_TRANSACTION,
  /** What was answered as not run was never sent without a refusal. */
  NOT_RUN_WAS_NOT_SENT,
  /** A record is never replaced by an earlier generation. */
  CONFIGURATION_NEVER_REVERTS,
  /** A proxy holds no more connections to a member than its share. */
  CONNECTIONS_WITHIN_SHARE,
  /** A term of a database has one driver. */
  TERM_HAS_ONE_DRIVER,
  /** Every request gets one answer. */
  ONE_ANSWER
}
