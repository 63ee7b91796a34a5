package org.sardinebay.proxy.internal.connection;

import org.sardinebay.Failure;

/** The result of acquiring a connection from a {@link MemberConnectionPool}. */
public sealed interface AcquireResult {
  /**
   * A connection was acquired for exclusive use.
   *
   * @param lease the lease of the connection
   */
  record Leased(ConnectionLease lease) implements AcquireResult {}

  /**
   * No connection was available, and no statement was sent.
   *
   * @param failure the reason
   * @param retryAfterMillis the delay in milliseconds after which to retry
   */
  record Denied(Failure failure, long retryAfterMillis) implements AcquireResult {}
}
