package org.sardinebay.internal.version;

/**
 * The right of one host at a time to fence members and to order promotions.
 *
 * <pre>{@code
 * boolean mayAct = lease.token() == tokenAtStart && lease.remainingMillis(now) > 0;
 * }</pre>
 */
public interface DriverLease {
  /**
   * Returns the fencing token of the last known holder, which may be another host.
   *
   * @return the token; it increases whenever the holder changes
   */
  long token();

  /**
   * Returns how much longer this host may act.
   *
   * @param now the current time in milliseconds
   * @return milliseconds, 0 if this host has no valid lease
   */
  long remainingMillis(long now);
}
