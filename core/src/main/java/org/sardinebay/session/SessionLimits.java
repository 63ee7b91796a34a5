package org.sardinebay.session;

/**
 * Limits on sessions.
 *
 * @param transactionIdleMillis how long a transaction may be idle between two statements, in
 *     milliseconds
 */
public record SessionLimits(long transactionIdleMillis) {
  /** The limits if the configuration states none: 3 s idle, as in the platform's example. */
  public static final SessionLimits DEFAULT = new SessionLimits(3_000);
}
