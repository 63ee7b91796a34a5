package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.List;

/** Counts what a check looked at and keeps what it found wrong. Confined to one thread. */
final class PointResult {
  private final Point point;
  private final List<String> violations = new ArrayList<>();
  private long checked;

  PointResult(Point point) {
    this.point = point;
  }

  void check(boolean holds, String violation) {
    checked++;
    if (!holds) {
      violations.add(violation);
    }
  }

  Point point() {
    return point;
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
        .formatted(point.spelling(), checked, violations.size());
  }
}
