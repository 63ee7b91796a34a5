package org.sardinebay.standins.driver;

import java.util.Set;

/**
 * A fault as it took place, on the driver's clock.
 *
 * @param fault what was planned
 * @param target the process, failure domain or record that it hit
 * @param lostPrimaries the databases whose primaries it hit
 * @param database the target's database, empty if it is not an endpoint
 * @param startMillis when it began
 * @param endMillis when it was healed
 */
record FaultEvent(
    Fault fault,
    String target,
    Set<String> lostPrimaries,
    String database,
    long startMillis,
    long endMillis) {
  FaultKind kind() {
    return fault.kind();
  }

  boolean overlaps(long fromMillis, long toMillis) {
    return startMillis < toMillis && endMillis > fromMillis;
  }
}
