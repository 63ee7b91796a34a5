package org.sardinebay.standins.driver;

import java.util.List;

/** Runs all checks that need nothing but the history and the final state. */
final class HistoryChecker {
  private static final List<HistoryCheck> CHECKS =
      List.of(
          new SessionCheck(),
          new AcknowledgementOrderCheck(),
          new TransactionCheck(),
          new AnswerCheck(),
          new NotRunCheck(),
          new AtMostOnceCheck(),
          new PresenceCheck(),
          new AgeCheck());

  private HistoryChecker() {}

  static List<PointResult> check(History history, FinalState state) {
    return CHECKS.stream().map(check -> check.check(history, state)).toList();
  }
}
