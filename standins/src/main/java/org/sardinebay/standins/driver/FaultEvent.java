package org.sardinebay.standins.driver;

import java.util.Set;

/**
 * An injected fault, with times in milliseconds on the driver's clock.
 *
 * @param fault the planned fault
 * @param target the process, failure domain or record that the fault was injected into
 * @param affectedDatabases the databases whose primary was the target, or in the target failure
 *     domain, when the fault started
 * @param database the target's database, empty if the target is not an endpoint
 * @param startMillis when the fault started
 * @param endMillis when the fault was healed
 */
record FaultEvent(
    Fault fault,
    String target,
    Set<String> affectedDatabases,
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
