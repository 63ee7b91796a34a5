package org.sardinebay.record;

/** The result of validating a record's latest generation. */
public enum AcceptanceState {
  /** The generation is valid and in effect. */
  ACCEPTED,
  /** The generation has problems; the last accepted one stays in effect. */
  REJECTED
}
