package org.sardinebay.gateway.internal.connection;

import java.util.Optional;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.MemberProtocol;

/**
 * A caller's transaction. It gets a member connection with its first statement and keeps it to its
 * end.
 */
public final class Transaction {
  /** Where a transaction is open: at a member, or at another host that holds the connection. */
  public interface Pin {
    /**
     * Rolls the transaction back if it is still open there, and lets the connection go.
     *
     * @param protocol the members' protocol
     * @param id the name of the request that rolls back
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
  private long lastUsedAt;

  /**
   * A transaction that has not reached a member.
   *
   * @param beginId the caller's name for the request that began it
   * @param route the route when it began
   * @param service the service behind the route
   * @param readOnly whether it only reads
   * @param startedAt when its beginning arrived
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
   * The request that began it, under whose id it also begins at the member.
   *
   * @return the caller's name for the request
   */
  public String beginId() {
    return beginId;
  }

  /**
   * Its route, which holds for all of it.
   *
   * @return the route
   */
  public DatabaseRoute route() {
    return route;
  }

  /**
   * The service behind the route.
   *
   * @return the service
   */
  public ServiceRuntime service() {
    return service;
  }

  /**
   * Whether it only reads.
   *
   * @return as its caller said
   */
  public boolean readOnly() {
    return readOnly;
  }

  /**
   * When its beginning arrived.
   *
   * @return the time
   */
  public long startedAt() {
    return startedAt;
  }

  /**
   * Its member connection.
   *
   * @return the connection, empty before its first statement and after it failed
   */
  public Optional<Pin> pin() {
    return pin;
  }

  /**
   * Gives it a member connection.
   *
   * @param newPin the connection
   */
  public void pin(Pin newPin) {
    pin = Optional.of(newPin);
  }

  /**
   * Takes its member connection away.
   *
   * @return the connection, if it had one
   */
  public Optional<Pin> unpin() {
    Optional<Pin> old = pin;
    pin = Optional.empty();
    return old;
  }

  /** Notes that a write was sent. */
  public void noteWrite() {
    wrote = true;
  }

  /**
   * Whether a write was sent.
   *
   * @return true from the first write on
   */
  public boolean wrote() {
    return wrote;
  }

  /**
   * Notes that it was used.
   *
   * @param now the time
   */
  public void used(long now) {
    lastUsedAt = now;
  }

  /**
   * How long it has rested.
   *
   * @param now the time
   * @return milliseconds
   */
  public long idleMillis(long now) {
    return now - lastUsedAt;
  }
}
