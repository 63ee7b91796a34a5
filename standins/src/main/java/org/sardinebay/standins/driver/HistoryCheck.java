package org.sardinebay.standins.driver;

/** Checks one point on what callers saw and on the databases' state after the run. */
@FunctionalInterface
interface HistoryCheck {
  CheckResult check(History history, FinalState state);
}
