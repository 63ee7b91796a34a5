package org.sardinebay.standins.driver;

/**
 * Checks that every acknowledged write is in its list exactly once, and that a write of unknown
 * outcome is there at most once.
 */
final class ExactlyOnceCheck implements HistoryCheck {
  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.NOTHING_LOST_OR_DOUBLED);
    for (Operation.Write write : history.writes()) {
      String database = write.attempts().get(0).database();
      checkCount(result, state, database, write.key(), write.value(), write.outcome());
    }
    for (Operation.Transaction transaction : history.transactions()) {
      if (!transaction.statements().isEmpty()) {
        String database = transaction.statements().get(0).database();
        String value = transaction.value();
        Outcome outcome = transaction.outcome();
        checkCount(result, state, database, Keys.first(transaction.pair()), value, outcome);
        checkCount(result, state, database, Keys.second(transaction.pair()), value, outcome);
      }
    }
    return result;
  }

  private static void checkCount(
      CheckResult result,
      FinalState state,
      String database,
      String key,
      String value,
      Outcome outcome) {
    long count = state.count(database, key, value);
    if (outcome == Outcome.DONE) {
      result.check(
          count == 1,
          "acknowledged %s is %d times in %s of %s".formatted(value, count, key, database));
    } else if (outcome == Outcome.UNKNOWN) {
      result.check(count <= 1, "%s is %d times in %s of %s".formatted(value, count, key, database));
    }
  }
}
