package org.sardinebay.standins.relay;

/** Which bytes a link drops. */
public enum Cut {
  /** None. */
  NONE,
  /** All bytes. */
  BOTH,
  /** Bytes from the source to the target. */
  TO_TARGET,
  /** Bytes from the target to the source. */
  TO_SOURCE;

  boolean drops(Flow flow) {
    return switch (this) {
      case NONE -> false;
      case BOTH -> true;
      case TO_TARGET -> flow == Flow.TO_TARGET;
      case TO_SOURCE -> flow == Flow.TO_SOURCE;
    };
  }
}
