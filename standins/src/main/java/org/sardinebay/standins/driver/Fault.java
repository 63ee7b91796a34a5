package org.sardinebay.standins.driver;

/**
 * One planned fault of a schedule.
 *
 * @param kind the kind of fault
 * @param target a process, {@code primary:DATABASE}, {@code replica:DATABASE}, a failure domain, a
 *     record, or the platform
 * @param other the second process for {@link FaultKind#CUT_PAIR}, in a form that {@code target} can
 *     have; else empty
 * @param atMillis when the fault starts, in milliseconds after the start of the schedule
 * @param durationMillis how long the fault lasts, in milliseconds
 * @param amount the parameter of the kind: a delay or lag in milliseconds, or a count; else 0
 */
record Fault(
    FaultKind kind, String target, String other, long atMillis, long durationMillis, long amount) {
  static final String PRIMARY_OF = "primary:";
  static final String REPLICA_OF = "replica:";

  long endMillis() {
    return atMillis + durationMillis;
  }
}
