package org.sardinebay.standins.driver;

import java.util.List;

/**
 * Checks that a non-repeatable write is in its list at most once, and that all successful responses
 * to such a write, or to a commit, report the same position.
 */
final class AtMostOnceCheck implements HistoryCheck {
  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.AT_MOST_ONCE);
    for (Operation.Write write : history.writes()) {
      if (!write.repeatable()) {
        String database = write.attempts().get(0).database();
        long count = state.count(database, write.key(), write.value());
        result.check(
            count <= 1 && samePosition(write.attempts()),
            "%s is %d times in %s of %s; answers %s"
                .formatted(write.value(), count, write.key(), database, write.attempts()));
      }
    }
    for (Operation.Transaction transaction : history.transactions()) {
      result.check(
          samePosition(transaction.commits()),
          "commit of %s has answers %s".formatted(transaction.value(), transaction.commits()));
    }
    return result;
  }

  private static boolean samePosition(List<Attempt> attempts) {
    return attempts.stream()
            .filter(Attempt::isDone)
            .map(attempt -> attempt.answer().position())
            .distinct()
            .count()
        <= 1;
  }
}
