package org.sardinebay.record;

/** What became of a record's latest generation. */
public enum AcceptanceState {
  /** It is in force. */
  ACCEPTED,
  /** It has problems; the last accepted one stays in force. */
  REJECTED
}
