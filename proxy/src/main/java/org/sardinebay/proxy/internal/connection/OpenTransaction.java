package org.sardinebay.proxy.internal.connection;

import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinebay.CallerId;
import org.sardinebay.DatabaseId;
import org.sardinebay.MemberId;

/**
 * A caller's transaction on a connection of its own.
 *
 * <pre>{@code
 * if (transaction.enter(now)) {
 *   // send a statement, then
 *   transaction.exit(now);
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
   * A transaction that has just begun.
   *
   * @param id its name
   * @param caller whose it is
   * @param database where it runs
   * @param primary the member that runs it
   * @param term the term that the member leads
   * @param lease its connection
   * @param now the time
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
   * Takes the transaction for one statement.
   *
   * @param now the time
   * @return false if another statement still runs
   */
  public boolean tryAcquire(long now) {
    usedAt = now;
    return busy.compareAndSet(false, true);
  }

  /**
   * Ends a statement.
   *
   * @param now the time
   */
  public void release(long now) {
    usedAt = now;
    busy.set(false);
  }

  /**
   * Whether the transaction is over its time.
   *
   * @param now the time
   * @param maxIdleMillis how long it may be idle
   * @param maxAgeMillis how long it may last
   * @return true if it must be rolled back
   */
  public boolean expired(long now, long maxIdleMillis, long maxAgeMillis) {
    return !busy.get() && (now - usedAt > maxIdleMillis || now - beganAt > maxAgeMillis);
  }

  /**
   * Whether a request belongs to this transaction.
   *
   * @param who the request's caller
   * @param where the request's database
   * @return true if both match
   */
  public boolean belongsTo(CallerId who, DatabaseId where) {
    return caller.equals(who) && database.equals(where);
  }

  /**
   * The transaction's name.
   *
   * @return the name
   */
  public String id() {
    return id;
  }

  /**
   * The member that runs the transaction.
   *
   * @return the primary at its begin
   */
  public MemberId primary() {
    return primary;
  }

  /**
   * The term in which it runs.
   *
   * @return the term at its begin
   */
  public long term() {
    return term;
  }

  /**
   * The transaction's connection.
   *
   * @return the lease, ended only with the transaction
   */
  public ConnectionLease lease() {
    return lease;
  }
}
