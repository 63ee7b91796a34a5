package org.sardinebay.standins.driver;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Checks availability under faults: each database completes a write within 6 s of losing its
 * primary, during a platform outage, and after all faults have ended. A late failover, or an outage
 * without a write, is not reported if another fault that can block writes overlaps it. Nor is a
 * failover reported whose 6 s were not over when the traffic ended.
 */
final class AvailabilityCheck {
  private static final long MAX_GAP_MILLIS = 6_000;
  private static final long OUTAGE_START_MARGIN_MILLIS = 300;
  private static final Set<FaultKind> REQUIRES_FAILOVER =
      Set.of(
          FaultKind.KILL,
          FaultKind.FREEZE,
          FaultKind.CUT_PROCESS,
          FaultKind.CUT_ONE_WAY,
          FaultKind.CUT_DOMAIN);
  private static final Set<FaultKind> ALLOWS_WRITES =
      Set.of(
          FaultKind.RACING_OPERATORS,
          FaultKind.PLATFORM_LOSES_ANSWERS,
          FaultKind.REPLICA_LAG,
          FaultKind.TERMINATE);

  private final List<Attempt> writesAndCommits;
  private final List<FaultEvent> faults;

  AvailabilityCheck(History history, List<FaultEvent> faults) {
    this.writesAndCommits = history.doneWritesAndCommits().toList();
    this.faults = faults;
  }

  CheckResult check(DeploymentSpec spec, long trafficEndMillis) {
    CheckResult result = new CheckResult(Invariant.SERVES_THROUGH_FAULTS);
    for (FaultEvent fault : faults) {
      if (REQUIRES_FAILOVER.contains(fault.kind())) {
        fault
            .affectedDatabases()
            .forEach(database -> checkFailover(result, fault, database, trafficEndMillis));
      } else if (fault.kind() == FaultKind.PLATFORM_OUTAGE) {
        spec.databases().forEach(database -> checkOutage(result, fault, database.id()));
      }
    }
    long healedMillis = faults.stream().mapToLong(FaultEvent::endMillis).max().orElse(0);
    for (DeploymentSpec.Database database : spec.databases()) {
      result.check(
          firstDoneAfter(database.id(), healedMillis).isPresent(),
          database.id() + " took no write after all faults were healed");
    }
    return result;
  }

  private void checkFailover(
      CheckResult result, FaultEvent fault, String database, long trafficEndMillis) {
    long deadlineMillis = fault.startMillis() + MAX_GAP_MILLIS;
    Optional<Attempt> first = firstDoneAfter(database, fault.startMillis());
    boolean inTime = first.isPresent() && first.get().endMillis() <= deadlineMillis;
    if (!inTime
        && (trafficEndMillis < deadlineMillis
            || hasOverlappingFault(fault, deadlineMillis, database))) {
      return;
    }
    result.check(
        inTime,
        "%s of %s with the primary of %s at %d ms: the first write done after it ended at %s"
            .formatted(
                fault.kind().key(),
                fault.target(),
                database,
                fault.startMillis(),
                first.map(Attempt::endMillis)));
  }

  private void checkOutage(CheckResult result, FaultEvent fault, String database) {
    long fromMillis = fault.startMillis() + OUTAGE_START_MARGIN_MILLIS;
    Optional<Attempt> first = firstDoneAfter(database, fromMillis);
    boolean inTime = first.isPresent() && first.get().endMillis() <= fault.endMillis();
    if (!inTime && hasOverlappingFault(fault, fault.endMillis(), database)) {
      return;
    }
    result.check(
        inTime,
        "%s took no write in the platform's outage of %d to %d ms"
            .formatted(database, fromMillis, fault.endMillis()));
  }

  /**
   * Returns whether another fault that can block writes to the database overlaps the time from this
   * fault's start to {@code toMillis}.
   */
  private boolean hasOverlappingFault(FaultEvent fault, long toMillis, String database) {
    return faults.stream()
        .filter(other -> !other.equals(fault) && other.overlaps(fault.startMillis(), toMillis))
        .filter(other -> !ALLOWS_WRITES.contains(other.kind()))
        .anyMatch(
            other ->
                other.database().equals(database)
                    || other.kind() == FaultKind.CUT_DOMAIN
                    || other.kind().affectsPlatform());
  }

  private Optional<Attempt> firstDoneAfter(String database, long afterMillis) {
    return writesAndCommits.stream()
        .filter(attempt -> attempt.database().equals(database))
        .filter(attempt -> attempt.sentMillis() >= afterMillis)
        .min(Comparator.comparingLong(Attempt::endMillis));
  }
}
