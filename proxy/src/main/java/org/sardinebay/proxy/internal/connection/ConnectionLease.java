package org.sardinebay.proxy.internal.connection;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;

/**
 * The exclusive use of one connection by one request or transaction.
 *
 * <pre>{@code
 * lease.execute(call, timeoutMillis).thenAccept(reply -> lease.release(reply));
 * }</pre>
 */
public final class ConnectionLease {
  private final MemberConnectionPool pool;
  private final String connection;
  private final long leasedAt;
  private final AtomicBoolean ended = new AtomicBoolean();

  ConnectionLease(MemberConnectionPool pool, String connection, long leasedAt) {
    this.pool = pool;
    this.connection = connection;
    this.leasedAt = leasedAt;
  }

  /**
   * The id of the connection at the member.
   *
   * @return the id to put into calls
   */
  public String connection() {
    return connection;
  }

  /**
   * Sends a call on the connection. Must not be invoked while another call on it is in progress.
   *
   * @param call the call
   * @param timeoutMillis the timeout in milliseconds
   * @return completes with the reply, or with the reason why there is none
   */
  public CompletableFuture<EndpointReply> execute(EndpointCall call, long timeoutMillis) {
    return pool.send(call, timeoutMillis);
  }

  /**
   * Ends the lease. The connection is reused only if the reply shows that nothing is left running
   * on it; otherwise it is closed.
   *
   * @param last the reply to the last call
   */
  public void release(EndpointReply last) {
    if (last instanceof EndpointReply.Done || reusable(last)) {
      releaseUnused();
    } else {
      discard();
    }
  }

  /**
   * Ends the lease and returns the connection to the pool. Valid only if nothing was sent on it
   * since the last complete reply.
   */
  public void releaseUnused() {
    if (ended.compareAndSet(false, true)) {
      pool.onReleased(connection, leasedAt);
    }
  }

  /** Ends the lease and closes the connection, which rolls back its open transaction. */
  public void discard() {
    if (ended.compareAndSet(false, true)) {
      pool.onDiscarded(connection);
    }
  }

  private static boolean reusable(EndpointReply reply) {
    return reply instanceof EndpointReply.Refused refused
        && switch (refused.refusal()) {
          case UNKNOWN_CONNECTION, TRANSACTION_STATE, LEAVING, BAD_CALL -> false;
          default -> true;
        };
  }
}
