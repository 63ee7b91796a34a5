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
  /** How long a transaction may be idle: less than the members' limit for silent connections. */
  public static final long MAX_IDLE_MILLIS = 2_500;

  /** How long a transaction may last. */
  public static final long MAX_AGE_MILLIS = 10_000;

  private static final char HOST_SEPARATOR = '~';

  private final Clock clock;
  private final Map<String, OpenTransaction> open = new ConcurrentHashMap<>();

  /**
   * An empty table.
   *
   * @param clock the time
   */
  public TransactionTable(Clock clock) {
    this.clock = clock;
  }

  /**
   * Makes a transaction's name, which tells the host that it is open on.
   *
   * @param host the host
   * @param unique a text that no other transaction of the host has
   * @return the name
   */
  public static String newId(HostId host, String unique) {
    return host.value() + HOST_SEPARATOR + unique;
  }

  /**
   * The host that a transaction is open on.
   *
   * @param id the transaction's name
   * @return the host, empty if the name is not one of ours
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
   * @param id its name
   * @param caller who asks
   * @param database the request's database
   * @return the transaction, empty if it is not open or not the caller's
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

  /** Rolls back the transactions that are over their time. */
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
   * How many transactions are open.
   *
   * @return the number
   */
  public int size() {
    return open.size();
  }
}
