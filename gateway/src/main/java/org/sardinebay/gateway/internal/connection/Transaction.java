package org.sardinebay.gateway.internal.connection;

import java.util.Optional;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.MemberProtocol;

/**
 * A caller's transaction. It is pinned to a member connection from its first statement until it
 * ends.
 */
public final class Transaction {
  /**
   * Where a transaction is open: on a member connection of this host, or on another host that holds
   * the connection.
   */
  public interface Pin {
    /**
     * Rolls the transaction back if it is still open, and releases the connection.
     *
     * @param protocol the members' protocol
     * @param id the id of the request that rolls back
     */
    void rollBack(MemberProtocol protocol, String id);
  }

  private final String beginId;
  private final DatabaseRoute route;
  private final ServiceRuntime service;
  private final boolean readOnly;
  private final long startedAt;
  private Optional<Pin> pin = Optional.empty();
  private boolean wrote;
  private boolean counted;
  private long lastUsedAt;
  private boolean preempted;

  /**
   * Creates a transaction that has not reached a member.
   *
   * @param beginId the caller's id of the request that began the transaction
   * @param route the route at the start of the transaction
   * @param service the service of the route
   * @param readOnly whether the transaction only reads
   * @param startedAt when the request that began the transaction arrived, by this host's clock, in
   *     milliseconds
   */
  public Transaction(
      String beginId,
      DatabaseRoute route,
      ServiceRuntime service,
      boolean readOnly,
      long startedAt) {
    this.beginId = beginId;
    this.route = route;
    this.service = service;
    this.readOnly = readOnly;
    this.startedAt = startedAt;
    this.lastUsedAt = startedAt;
  }

  /**
   * Returns the id of the request that began the transaction; the same id is used to begin it on
   * the member.
   *
   * @return the caller's request id
   */
  public String beginId() {
    return beginId;
  }

  /**
   * Returns the route, which is the same for all statements of the transaction.
   *
   * @return the route
   */
  public DatabaseRoute route() {
    return route;
  }

  /**
   * Returns the service of the route.
   *
   * @return the service
   */
  public ServiceRuntime service() {
    return service;
  }

  /**
   * Whether the transaction only reads.
   *
   * @return true if the caller declared the transaction read-only
   */
  public boolean readOnly() {
    return readOnly;
  }

  /**
   * Returns when the request that began the transaction arrived.
   *
   * @return the time by this host's clock, in milliseconds
   */
  public long startedAt() {
    return startedAt;
  }

  /**
   * Returns where the transaction is pinned.
   *
   * @return the pin, empty before the first statement and after a failure
   */
  public Optional<Pin> pin() {
    return pin;
  }

  /**
   * Pins the transaction.
   *
   * @param newPin where the transaction is open
   */
  public void pin(Pin newPin) {
    pin = Optional.of(newPin);
  }

  /**
   * Removes the pin.
   *
   * @return the pin that was removed, if any
   */
  public Optional<Pin> unpin() {
    Optional<Pin> old = pin;
    pin = Optional.empty();
    return old;
  }

  /** Records that a write was sent. */
  public void markWritten() {
    wrote = true;
  }

  /**
   * Whether a write was sent.
   *
   * @return true once the first write was sent
   */
  public boolean wrote() {
    return wrote;
  }

  /** Records that the transaction was counted against the quota of its workspace. */
  public void markCounted() {
    counted = true;
  }

  /**
   * Whether the transaction was counted against the quota of its workspace.
   *
   * @return true once its first statement has a token
   */
  public boolean counted() {
    return counted;
  }

  /**
   * Records that the transaction was used.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void touch(long now) {
    lastUsedAt = now;
    preempted = false;
  }

  /** Requests a rollback because statements wait for the connection of this idle transaction. */
  public void preempt() {
    preempted = true;
  }

  /**
   * Whether a rollback was requested since the transaction was last used.
   *
   * @return true if the owner of the transaction should roll it back
   */
  public boolean preempted() {
    return preempted;
  }

  /**
   * Returns how long the transaction has been idle.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the idle time in milliseconds
   */
  public long idleMillis(long now) {
    return now - lastUsedAt;
  }
}
