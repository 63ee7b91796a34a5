package org.sardinebay.proxy.internal.connection;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinebay.CallerId;
import org.sardinebay.Clock;
import org.sardinebay.DatabaseId;
import org.sardinebay.HostId;

/**
 * The transactions that are open on this proxy.
 *
 * <pre>{@code
 * Optional<OpenTransaction> transaction = table.find(id, caller, database);
 * }</pre>
 */
public final class TransactionTable {
  /**
   * The maximum idle time of a transaction in milliseconds, below the members' limit for idle
   * connections.
   */
  public static final long MAX_IDLE_MILLIS = 2_500;

  /** The maximum duration of a transaction in milliseconds. */
  public static final long MAX_AGE_MILLIS = 10_000;

  private static final char HOST_SEPARATOR = '~';

  private final Clock clock;
  private final Map<String, OpenTransaction> open = new ConcurrentHashMap<>();

  /**
   * Creates an empty table.
   *
   * @param clock the time source
   */
  public TransactionTable(Clock clock) {
    this.clock = clock;
  }

  /**
   * Builds a transaction id that contains the host on which the transaction is open.
   *
   * @param host the host
   * @param unique a string that no other transaction of the host has
   * @return the transaction id
   */
  public static String newId(HostId host, String unique) {
    return host.value() + HOST_SEPARATOR + unique;
  }

  /**
   * The host on which a transaction is open.
   *
   * @param id the transaction id
   * @return the host, empty if the id was not built by {@link #newId}
   */
  public static Optional<HostId> hostOf(String id) {
    int separator = id.indexOf(HOST_SEPARATOR);
    return separator <= 0 ? Optional.empty() : Optional.of(new HostId(id.substring(0, separator)));
  }

  /**
   * Adds a transaction.
   *
   * @param transaction the transaction
   */
  public void add(OpenTransaction transaction) {
    open.put(transaction.id(), transaction);
  }

  /**
   * Finds a caller's transaction.
   *
   * @param id the transaction id
   * @param caller the caller that sent the request
   * @param database the database of the request
   * @return the transaction, empty if it is not open or belongs to another caller or database
   */
  public Optional<OpenTransaction> find(String id, CallerId caller, DatabaseId database) {
    return Optional.ofNullable(open.get(id))
        .filter(transaction -> transaction.belongsTo(caller, database));
  }

  /**
   * Removes a transaction that has ended.
   *
   * @param transaction the transaction
   */
  public void remove(OpenTransaction transaction) {
    open.remove(transaction.id());
  }

  /** Rolls back the transactions that exceed the idle time or the maximum duration. */
  public void sweep() {
    for (OpenTransaction transaction : open.values()) {
      boolean expired = transaction.expired(clock.millis(), MAX_IDLE_MILLIS, MAX_AGE_MILLIS);
      if (expired && transaction.tryAcquire(clock.millis())) {
        remove(transaction);
        transaction.lease().discard();
      }
    }
  }

  /**
   * The number of open transactions.
   *
   * @return the number
   */
  public int size() {
    return open.size();
  }
}
