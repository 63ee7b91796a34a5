package org.sardinebay.standins.driver;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/**
 * Records the operations of all sessions; the operations of one session keep their order.
 * Thread-safe.
 */
final class History {
  private final Collection<Operation> operations = new ConcurrentLinkedQueue<>();

  void add(Operation operation) {
    operations.add(operation);
  }

  List<Operation> operations() {
    return List.copyOf(operations);
  }

  List<Operation.Read> reads() {
    return ofType(Operation.Read.class).toList();
  }

  List<Operation.Write> writes() {
    return ofType(Operation.Write.class).toList();
  }

  List<Operation.Transaction> transactions() {
    return ofType(Operation.Transaction.class).toList();
  }

  Stream<Attempt> attempts() {
    return operations.stream().flatMap(operation -> operation.attempts().stream());
  }

  /** Returns the attempts of single writes and commits that the proxy answered as done. */
  Stream<Attempt> doneWritesAndCommits() {
    return attempts()
        .filter(Attempt::isDone)
        .filter(attempt -> attempt.kind() == CallKind.WRITE || attempt.kind() == CallKind.COMMIT);
  }

  private <T extends Operation> Stream<T> ofType(Class<T> type) {
    return operations.stream().filter(type::isInstance).map(type::cast);
  }
}
