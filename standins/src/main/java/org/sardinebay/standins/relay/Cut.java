package org.sardinebay.standins.relay;

/** The directions in which a link drops bytes. */
public enum Cut {
  /** Drops nothing. */
  NONE,
  /** Drops bytes in both directions. */
  BOTH,
  /** Drops bytes from the source to the target. */
  TO_TARGET,
  /** Drops bytes from the target to the source. */
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
