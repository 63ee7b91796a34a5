package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts the cases that a check examined and collects the violations that it found. Not
 * thread-safe.
 */
final class CheckResult {
  private final Invariant invariant;
  private final List<String> violations = new ArrayList<>();
  private long checked;

  CheckResult(Invariant invariant) {
    this.invariant = invariant;
  }

  void check(boolean satisfied, String violation) {
    checked++;
    if (!satisfied) {
      violations.add(violation);
    }
  }

  Invariant invariant() {
    return invariant;
  }

  long checked() {
    return checked;
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns whether no violation was found. A check that examined no case has not passed. */
  boolean passed() {
    return checked > 0 && violations.isEmpty();
  }

  @Override
  public String toString() {
    return "invariant=%s checked=%d violated=%d"
        .formatted(invariant.key(), checked, violations.size());
  }
}
