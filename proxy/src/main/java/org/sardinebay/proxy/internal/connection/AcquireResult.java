package org.sardinebay.proxy.internal.connection;

import org.sardinebay.Failure;

/** What asking for a connection came to. */
public sealed interface AcquireResult {
  /**
   * A connection, for the asker alone.
   *
   * @param lease the connection
   */
  record Leased(ConnectionLease lease) implements AcquireResult {}

  /**
   * No connection; nothing was sent.
   *
   * @param failure why
   * @param retryAfterMillis when to come back
   */
  record Denied(Failure failure, long retryAfterMillis) implements AcquireResult {}
}
