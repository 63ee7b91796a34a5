package org.sardinebay.session;

/** Which commits a database's reads must reflect. */
public enum RouteKind {
  /** All commits: reads run on the primary. */
  PRIMARY,
  /** All commits that are at least as old as the configured maximum staleness. */
  BOUNDED_STALENESS,
  /**
   * The session's own commits, and all others that are at least as old as the configured maximum
   * staleness.
   */
  READ_YOUR_WRITES
}
