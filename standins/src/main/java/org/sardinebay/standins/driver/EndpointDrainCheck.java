package org.sardinebay.standins.driver;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Checks that a leaving endpoint serves no request that was sent 4 s or more after the endpoint
 * began to leave, apart from transactions that were already open.
 */
final class EndpointDrainCheck {
  private static final long DRAIN_START_MILLIS = 4_000;

  private EndpointDrainCheck() {}

  static CheckResult check(History history, List<FaultEvent> faults) {
    CheckResult result = new CheckResult(Invariant.LEAVING_ENDPOINT_DRAINED);
    for (FaultEvent fault : faults) {
      if (fault.kind() == FaultKind.LEAVING_ENDPOINT) {
        check(result, history, fault);
      }
    }
    return result;
  }

  private static void check(CheckResult result, History history, FaultEvent fault) {
    long fromMillis = fault.startMillis() + DRAIN_START_MILLIS;
    Set<Attempt> earlierTransactions = attemptsOfEarlierTransactions(history, fromMillis);
    history
        .attempts()
        .filter(attempt -> attempt.database().equals(fault.database()) && attempt.isDone())
        .filter(attempt -> attempt.sentMillis() >= fromMillis)
        .filter(attempt -> attempt.endMillis() <= fault.endMillis())
        .filter(attempt -> !earlierTransactions.contains(attempt))
        .forEach(
            attempt ->
                result.check(
                    !attempt.answer().servedBy().member().equals(fault.target()),
                    "%s was leaving since %d ms and served %s"
                        .formatted(fault.target(), fault.startMillis(), attempt)));
  }

  private static Set<Attempt> attemptsOfEarlierTransactions(History history, long fromMillis) {
    return history.transactions().stream()
        .filter(transaction -> transaction.statements().get(0).sentMillis() < fromMillis)
        .flatMap(transaction -> transaction.attempts().stream())
        .collect(Collectors.toCollection(HashSet::new));
  }
}
