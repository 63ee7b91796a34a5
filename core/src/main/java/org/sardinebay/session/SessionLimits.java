package org.sardinebay.session;

/**
 * Limits on sessions.
 *
 * @param transactionIdleMillis how long a transaction may rest between two statements
 */
public record SessionLimits(long transactionIdleMillis) {
  /** The limits while no configuration names any: a rest of 3 s, the platform's example. */
  public static final SessionLimits DEFAULT = new SessionLimits(3_000);
}
