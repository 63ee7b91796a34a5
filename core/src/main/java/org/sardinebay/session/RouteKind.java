package org.sardinebay.session;

/** Which commits a database's reads must show. */
public enum RouteKind {
  /** All commits: reads run at the primary. */
  PRIMARY,
  /** Commits of a stated age and older. */
  BOUNDED_STALENESS,
  /** The session's own commits, and others of a stated age and older. */
  READ_YOUR_WRITES
}
