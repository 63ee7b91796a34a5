package org.sardinebay.proxy.internal.connection;

import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinebay.CallerId;
import org.sardinebay.DatabaseId;
import org.sardinebay.MemberId;

/**
 * A caller's open transaction, which has a connection reserved for it.
 *
 * <pre>{@code
 * if (transaction.tryAcquire(now)) {
 *   // send a statement, then
 *   transaction.release(now);
 * }
 * }</pre>
 */
public final class OpenTransaction {
  private final String id;
  private final CallerId caller;
  private final DatabaseId database;
  private final MemberId primary;
  private final long term;
  private final ConnectionLease lease;
  private final long beganAt;
  private final AtomicBoolean busy = new AtomicBoolean();
  private volatile long usedAt;

  /**
   * Creates a transaction that has just begun.
   *
   * @param id the transaction id
   * @param caller the caller that owns the transaction
   * @param database the database of the transaction
   * @param primary the member that runs the transaction
   * @param term the term in which the member is primary
   * @param lease the lease of the reserved connection
   * @param now the current time in milliseconds
   */
  public OpenTransaction(
      String id,
      CallerId caller,
      DatabaseId database,
      MemberId primary,
      long term,
      ConnectionLease lease,
      long now) {
    this.id = id;
    this.caller = caller;
    this.database = database;
    this.primary = primary;
    this.term = term;
    this.lease = lease;
    this.beganAt = now;
    this.usedAt = now;
  }

  /**
   * Acquires the transaction for one statement.
   *
   * @param now the current time in milliseconds
   * @return false if another statement is still running
   */
  public boolean tryAcquire(long now) {
    usedAt = now;
    return busy.compareAndSet(false, true);
  }

  /**
   * Releases the transaction after a statement.
   *
   * @param now the current time in milliseconds
   */
  public void release(long now) {
    usedAt = now;
    busy.set(false);
  }

  /**
   * Whether the transaction is not running a statement and exceeds a time limit.
   *
   * @param now the current time in milliseconds
   * @param maxIdleMillis the maximum idle time in milliseconds
   * @param maxAgeMillis the maximum duration in milliseconds
   * @return true if it must be rolled back
   */
  public boolean expired(long now, long maxIdleMillis, long maxAgeMillis) {
    return !busy.get() && (now - usedAt > maxIdleMillis || now - beganAt > maxAgeMillis);
  }

  /**
   * Whether the transaction belongs to a caller and a database.
   *
   * @param otherCaller the caller of the request
   * @param otherDatabase the database of the request
   * @return true if both match
   */
  public boolean belongsTo(CallerId otherCaller, DatabaseId otherDatabase) {
    return caller.equals(otherCaller) && database.equals(otherDatabase);
  }

  /**
   * The transaction id.
   *
   * @return the id
   */
  public String id() {
    return id;
  }

  /**
   * The member that runs the transaction.
   *
   * @return the member that was the primary when the transaction began
   */
  public MemberId primary() {
    return primary;
  }

  /**
   * The term in which the transaction runs.
   *
   * @return the term when the transaction began
   */
  public long term() {
    return term;
  }

  /**
   * The connection reserved for the transaction.
   *
   * @return the lease, which ends with the transaction
   */
  public ConnectionLease lease() {
    return lease;
  }
}
