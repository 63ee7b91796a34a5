package org.sardinebay.standins.driver;

import java.util.List;

/**
 * Checks that a write or transaction that was reported as not run, refused or rolled back is absent
 * from the final state, and that a revoked one was never also reported as done.
 */
final class NotRunCheck implements HistoryCheck {
  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.NOT_RUN_MEANS_NOT_RUN);
    for (Operation.Write write : history.writes()) {
      checkRevokedNotDone(result, write.value(), write.attempts());
      if (write.outcome() == Outcome.NOT_RUN) {
        String database = write.attempts().get(0).database();
        checkAbsent(result, state, database, write.key(), write.value());
      }
    }
    for (Operation.Transaction transaction : history.transactions()) {
      checkRevokedNotDone(result, transaction.value(), transaction.commits());
      if (transaction.outcome() == Outcome.NOT_RUN && !transaction.statements().isEmpty()) {
        String database = transaction.statements().get(0).database();
        String value = transaction.value();
        checkAbsent(result, state, database, Keys.first(transaction.pair()), value);
        checkAbsent(result, state, database, Keys.second(transaction.pair()), value);
      }
    }
    return result;
  }

  private static void checkAbsent(
      CheckResult result, FinalState state, String database, String key, String value) {
    result.check(
        state.count(database, key, value) == 0,
        "%s was answered as not run but is in %s of %s".formatted(value, key, database));
  }

  private static void checkRevokedNotDone(
      CheckResult result, String value, List<Attempt> attempts) {
    boolean revoked =
        attempts.stream().anyMatch(attempt -> attempt.answer().code().equals(Operation.REVOKED));
    if (revoked) {
      result.check(
          attempts.stream().noneMatch(Attempt::isDone),
          "%s was answered as revoked and as done".formatted(value));
    }
  }
}
