package org.sardinebay.session;

/** Where a session stands with regard to transactions. */
public enum TransactionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  OPEN,
  /** A transaction failed; only its end is accepted. */
  FAILED
}
