package org.sardinebay.standins.driver;

import java.util.List;

/** Runs all checks that depend only on the history and the final state. */
final class HistoryChecker {
  private static final List<HistoryCheck> CHECKS =
      List.of(
          new SessionConsistencyCheck(),
          new AcknowledgementOrderCheck(),
          new TransactionIsolationCheck(),
          new ResponseMatchCheck(),
          new NotRunCheck(),
          new AtMostOnceCheck(),
          new ExactlyOnceCheck(),
          new StalenessCheck());

  private HistoryChecker() {}

  static List<CheckResult> check(History history, FinalState state) {
    return CHECKS.stream().map(check -> check.check(history, state)).toList();
  }
}
