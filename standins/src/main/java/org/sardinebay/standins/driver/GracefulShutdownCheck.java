package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Set;

/**
 * Checks that a proxy that receives SIGTERM answers every request in progress and every request
 * sent within the next 500 ms, before the load balancer notices, and lets open transactions run to
 * completion.
 */
final class GracefulShutdownCheck {
  private static final Set<String> ABORTED_CODES = Set.of("shutting-down", "unknown-transaction");

  private GracefulShutdownCheck() {}

  static CheckResult check(History history, List<FaultEvent> faults) {
    CheckResult result = new CheckResult(Invariant.GRACEFUL_SHUTDOWN_CUTS_NOTHING);
    for (FaultEvent fault : faults) {
      if (fault.kind() == FaultKind.TERMINATE) {
        history.operations().forEach(operation -> check(result, operation, fault));
      }
    }
    return result;
  }

  private static void check(CheckResult result, Operation operation, FaultEvent fault) {
    for (Attempt attempt : operation.attempts()) {
      boolean sentBeforeDetection =
          attempt.sentMillis() < fault.startMillis() + LoadBalancer.UNREADY_DETECTION_MILLIS;
      if (attempt.proxy().equals(fault.target())
          && sentBeforeDetection
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
      CheckResult result, Operation.Transaction transaction, FaultEvent fault) {
    Attempt begin = transaction.statements().get(0);
    boolean openAtShutdown =
        begin.isDone()
            && begin.proxy().equals(fault.target())
            && begin.endMillis() < fault.startMillis()
            && lastEndMillis(transaction) >= fault.startMillis();
    if (openAtShutdown) {
      result.check(
          transaction.attempts().stream()
              .filter(attempt -> attempt.proxy().equals(fault.target()))
              .noneMatch(GracefulShutdownCheck::wasAborted),
          "%s shut down at %d ms and cut a transaction: %s"
              .formatted(fault.target(), fault.startMillis(), transaction));
    }
  }

  private static boolean wasAborted(Attempt attempt) {
    return attempt.outcome() == Outcome.NO_ANSWER
        || ABORTED_CODES.contains(attempt.answer().code());
  }

  private static long lastEndMillis(Operation.Transaction transaction) {
    return transaction.attempts().stream().mapToLong(Attempt::endMillis).max().orElse(0);
  }
}
