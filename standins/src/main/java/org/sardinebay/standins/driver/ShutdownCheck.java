package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Set;

/**
 * A proxy that is terminated answers every request that it had, and runs the transactions that were
 * open to their end.
 */
final class ShutdownCheck {
  private static final Set<String> GIVEN_UP = Set.of("shutting-down", "unknown-transaction");

  private ShutdownCheck() {}

  static PointResult check(History history, List<FaultEvent> faults) {
    PointResult result = new PointResult(Point.GRACEFUL_SHUTDOWN_CUTS_NOTHING);
    for (FaultEvent fault : faults) {
      if (fault.kind() == FaultKind.TERMINATE) {
        history.operations().forEach(operation -> check(result, operation, fault));
      }
    }
    return result;
  }

  private static void check(PointResult result, Operation operation, FaultEvent fault) {
    for (Attempt attempt : operation.attempts()) {
      boolean sentBeforeNotice =
          attempt.sentMillis() < fault.startMillis() + Balancer.NOTICE_MILLIS;
      if (attempt.proxy().equals(fault.target())
          && sentBeforeNotice
          && attempt.endMillis() >= fault.startMillis()) {
        result.check(
            attempt.outcome() != Outcome.NO_ANSWER,
            "%s shut down at %d ms and cut %s"
                .formatted(fault.target(), fault.startMillis(), attempt));
      }
    }
    if (operation instanceof Operation.Transaction transaction) {
      checkTransaction(result, transaction, fault);
    }
  }

  private static void checkTransaction(
      PointResult result, Operation.Transaction transaction, FaultEvent fault) {
    Attempt begin = transaction.statements().get(0);
    boolean open =
        begin.isDone()
            && begin.proxy().equals(fault.target())
            && begin.endMillis() < fault.startMillis()
            && lastEndMillis(transaction) >= fault.startMillis();
    if (open) {
      result.check(
          transaction.attempts().stream()
              .filter(attempt -> attempt.proxy().equals(fault.target()))
              .noneMatch(ShutdownCheck::wasCut),
          "%s shut down at %d ms and cut a transaction: %s"
              .formatted(fault.target(), fault.startMillis(), transaction));
    }
  }

  private static boolean wasCut(Attempt attempt) {
    return attempt.outcome() == Outcome.NO_ANSWER || GIVEN_UP.contains(attempt.answer().code());
  }

  private static long lastEndMillis(Operation.Transaction transaction) {
    return transaction.attempts().stream().mapToLong(Attempt::endMillis).max().orElse(0);
  }
}
