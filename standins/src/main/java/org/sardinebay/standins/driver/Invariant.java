package org.sardinebay.standins.driver;

import org.sardinebay.record.FieldReader;

/** The invariants that a run of {@code prove} checks. */
enum Invariant {
  READ_YOUR_WRITES,
  NO_ACK_BY_REPLACED_PRIMARY,
  TRANSACTIONS_ISOLATED,
  ANSWERS_NOT_CROSSED,
  NOT_RUN_MEANS_NOT_RUN,
  AT_MOST_ONCE,
  LEAVING_ENDPOINT_DRAINED,
  GRACEFUL_SHUTDOWN_CUTS_NOTHING,
  CONFIGURATION_NEVER_REVERTS,
  NOTHING_LOST_OR_DOUBLED,
  SERVES_THROUGH_FAULTS,
  AGE_WITHIN_BOUND;

  String key() {
    return FieldReader.jsonName(this);
  }
}
