package org.sardinebay.standins.driver;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Checks that transactions are atomic and isolated: both lists of a pair hold the same values in
 * the same order, and the rows that a transaction reads end with its own append and hold no value
 * of a transaction that is known not to have committed.
 */
final class TransactionIsolationCheck implements HistoryCheck {
  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.TRANSACTIONS_ISOLATED);
    List<Operation.Transaction> transactions = history.transactions();
    Set<String> notCommitted =
        transactions.stream()
            .filter(transaction -> transaction.outcome() == Outcome.NOT_RUN)
            .map(Operation.Transaction::value)
            .collect(Collectors.toSet());
    transactions.forEach(transaction -> checkReadBack(result, transaction, notCommitted));
    Map<FinalState.ListName, List<Operation.Transaction>> pairs =
        transactions.stream()
            .filter(transaction -> !transaction.statements().isEmpty())
            .collect(Collectors.groupingBy(TransactionIsolationCheck::pairOf));
    pairs.keySet().forEach(pair -> checkPair(result, state, pair));
    return result;
  }

  private static FinalState.ListName pairOf(Operation.Transaction transaction) {
    String database = transaction.statements().get(0).database();
    return new FinalState.ListName(database, transaction.pair());
  }

  private static void checkPair(CheckResult result, FinalState state, FinalState.ListName pair) {
    List<String> first = state.list(pair.database(), Keys.first(pair.key()));
    List<String> second = state.list(pair.database(), Keys.second(pair.key()));
    result.check(
        first.equals(second),
        "pair %s of %s differs: %s and %s".formatted(pair.key(), pair.database(), first, second));
  }

  private static void checkReadBack(
      CheckResult result, Operation.Transaction transaction, Set<String> notCommitted) {
    Optional<List<String>> readBack = transaction.readBack();
    if (readBack.isEmpty()) {
      return;
    }
    List<String> rows = readBack.get();
    Set<String> others = new HashSet<>(rows);
    others.remove(transaction.value());
    others.retainAll(notCommitted);
    boolean ownLast = !rows.isEmpty() && rows.get(rows.size() - 1).equals(transaction.value());
    result.check(
        ownLast && others.isEmpty(),
        "transaction %s read %s, of which %s were never committed"
            .formatted(transaction.value(), rows, others));
  }
}
