package org.sardinebay.standins.endpoint;

import java.util.Optional;

/** One connection and its transaction. */
final class Connection {
  private final String name;
  private boolean open;
  private boolean closed;
  private boolean busy;
  private long silentSince;
  private Optional<Transaction> transaction = Optional.empty();

  Connection(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  boolean open() {
    return open && !closed;
  }

  void opened(long now) {
    open = true;
    silentSince = now;
  }

  void close() {
    closed = true;
    transaction = Optional.empty();
  }

  boolean busy() {
    return busy;
  }

  void begin() {
    busy = true;
  }

  void end(long now) {
    busy = false;
    silentSince = now;
  }

  long silentSince() {
    return silentSince;
  }

  Optional<Transaction> transaction() {
    return transaction;
  }

  void transaction(Optional<Transaction> newTransaction) {
    transaction = newTransaction;
  }
}
