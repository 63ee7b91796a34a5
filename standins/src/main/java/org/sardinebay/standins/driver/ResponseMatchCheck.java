package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Optional;

/**
 * Checks that each successful response to a read, write or commit belongs to its request: it holds
 * rows of the requested list, or echoes the idempotency key that was sent.
 */
final class ResponseMatchCheck implements HistoryCheck {
  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.ANSWERS_NOT_CROSSED);
    for (Operation operation : history.operations()) {
      if (operation instanceof Operation.Read read && read.attempt().isDone()) {
        checkRows(result, read.key(), read.attempt().answer().rows());
      } else if (operation instanceof Operation.Write write) {
        write.attempts().forEach(attempt -> checkKey(result, attempt, write.idempotencyKey()));
      } else if (operation instanceof Operation.Transaction transaction) {
        transaction
            .commits()
            .forEach(attempt -> checkKey(result, attempt, transaction.idempotencyKey()));
        transaction
            .readBack()
            .ifPresent(rows -> checkRows(result, Keys.first(transaction.pair()), rows));
      }
    }
    return result;
  }

  private static void checkRows(CheckResult result, String key, List<String> rows) {
    result.check(
        rows.stream().allMatch(row -> Keys.belongs(key, row)),
        "a read of %s returned %s".formatted(key, rows));
  }

  private static void checkKey(CheckResult result, Attempt attempt, String sent) {
    Optional<String> echoed = attempt.answer().idempotencyKey();
    if (attempt.isDone()) {
      result.check(
          echoed.isPresent() && echoed.get().equals(sent),
          "key %s was answered with %s".formatted(sent, echoed));
    }
  }
}
