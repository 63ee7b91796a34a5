package org.sardinebay.standins.endpoint;

import java.util.Optional;

/** State of one connection, including its open transaction. */
final class Connection {
  private final String id;
  private boolean open;
  private boolean closed;
  private boolean busy;
  private long idleSince;
  private Optional<Transaction> transaction = Optional.empty();

  Connection(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  boolean open() {
    return open && !closed;
  }

  void opened(long now) {
    open = true;
    idleSince = now;
  }

  void close() {
    closed = true;
    transaction = Optional.empty();
  }

  boolean busy() {
    return busy;
  }

  void startStatement() {
    busy = true;
  }

  void endStatement(long now) {
    busy = false;
    idleSince = now;
  }

  long idleSince() {
    return idleSince;
  }

  Optional<Transaction> transaction() {
    return transaction;
  }

  void transaction(Optional<Transaction> newTransaction) {
    transaction = newTransaction;
  }
}
