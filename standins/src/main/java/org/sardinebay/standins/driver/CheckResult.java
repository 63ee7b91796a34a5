package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.List;

/** Counts what a check looked at and keeps what it found wrong. Confined to one thread. */
final class CheckResult {
  private final Invariant invariant;
  private final List<String> violations = new ArrayList<>();
  private long checked;

  CheckResult(Invariant point) {
    this.invariant = point;
  }

  void check(boolean holds, String violation) {
    checked++;
    if (!holds) {
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

  boolean passed() {
    return checked > 0 && violations.isEmpty();
  }

  @Override
  public String toString() {
    return "invariant=%s checked=%d violated=%d"
        .formatted(invariant.key(), checked, violations.size());
  }
}
