package org.sardinebay;

/** Why a request was routed to the member that served it. */
public enum RouteReason {
  /** Writes and transactions always run on the primary. */
  WRITES_GO_TO_PRIMARY,
  /**
   * The read states neither a session position nor a maximum age, so only the primary is known to
   * have the session's writes.
   */
  NO_SESSION_POSITION,
  /** A replica in the proxy's own failure domain has applied the position. */
  LOCAL_REPLICA_HAS_POSITION,
  /** A replica in another failure domain has applied the position. */
  REMOTE_REPLICA_HAS_POSITION,
  /** A replica is expected to apply the position within the allowed wait. */
  REPLICA_EXPECTED_IN_TIME,
  /** No replica is expected to apply the position in time. */
  REPLICAS_BEHIND,
  /**
   * The age of the replicas' data can't be proved: no recent enough reply of the primary is
   * confirmed by a majority yet.
   */
  AGE_NOT_PROVED,
  /** The replicas that were tried could not serve the read. */
  REPLICAS_TRIED
}
