package org.sardinebay.standins.driver;

/** Checks one invariant against the recorded history and the final state of the databases. */
@FunctionalInterface
interface HistoryCheck {
  CheckResult check(History history, FinalState state);
}
