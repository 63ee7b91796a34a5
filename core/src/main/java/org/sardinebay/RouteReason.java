package org.sardinebay;

/** Why a request went to the member that served it. */
public enum RouteReason {
  /** Writes and transactions run on the primary. */
  WRITES_GO_TO_PRIMARY,
  /** The session has no token, so that only the primary is known to have its writes. */
  NO_SESSION_POSITION,
  /** A replica in the own failure domain has the position. */
  LOCAL_REPLICA_HAS_POSITION,
  /** A replica elsewhere has the position. */
  REMOTE_REPLICA_HAS_POSITION,
  /** A replica is expected to reach the position within the wait allowed. */
  REPLICA_EXPECTED_IN_TIME,
  /** No replica is expected to reach the position in time. */
  REPLICAS_BEHIND,
  /** No answer of the primary young enough is ratified yet, so that no replica's age is proved. */
  AGE_NOT_PROVED,
  /** Replicas that were tried had not reached the position. */
  REPLICAS_TRIED
}
