package org.sardinebay.session;

/** The transaction state of a session. */
public enum TransactionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  OPEN,
  /** A transaction failed; only its commit or rollback is accepted. */
  FAILED
}
