package org.sardinebay.standins.driver;

/**
 * One fault of a schedule.
 *
 * @param kind what goes wrong
 * @param target a process, {@code primary:DATABASE}, {@code replica:DATABASE}, a failure domain, a
 *     record, or the platform
 * @param other the second process for {@link FaultKind#CUT_PAIR}, else empty
 * @param atMillis when it starts, from the start of the schedule
 * @param durationMillis how long it lasts
 * @param amount what the kind takes: milliseconds of delay or lag, or a count
 */
record Fault(
    FaultKind kind, String target, String other, long atMillis, long durationMillis, long amount) {
  static final String PRIMARY_OF = "primary:";
  static final String REPLICA_OF = "replica:";

  long endMillis() {
    return atMillis + durationMillis;
  }
}
