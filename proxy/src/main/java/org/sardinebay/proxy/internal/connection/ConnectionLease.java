package org.sardinebay.proxy.internal.connection;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;

/**
 * One connection in the hands of one request or transaction.
 *
 * <pre>{@code
 * lease.execute(call, timeoutMillis).thenAccept(reply -> lease.giveBack(reply));
 * }</pre>
 */
public final class ConnectionLease {
  private final MemberConnectionPool gateway;
  private final String connection;
  private final long leasedAt;
  private final AtomicBoolean ended = new AtomicBoolean();

  ConnectionLease(MemberConnectionPool gateway, String connection, long leasedAt) {
    this.gateway = gateway;
    this.connection = connection;
    this.leasedAt = leasedAt;
  }

  /**
   * The connection's name at the member.
   *
   * @return the name to put into calls
   */
  public String connection() {
    return connection;
  }

  /**
   * Sends a call on the connection. The caller sends one at a time.
   *
   * @param call the call
   * @param timeoutMillis how long to wait
   * @return the reply
   */
  public CompletableFuture<EndpointReply> execute(EndpointCall call, long timeoutMillis) {
    return gateway.send(call, timeoutMillis);
  }

  /**
   * Ends the lease. The connection serves others again only if the reply shows that nothing is left
   * running on it.
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

  /** Ends the lease of a connection on which nothing was sent since the last full reply. */
  public void releaseUnused() {
    if (ended.compareAndSet(false, true)) {
      gateway.onReleased(connection, leasedAt);
    }
  }

  /** Ends the lease and closes the connection, which rolls back what is open on it. */
  public void discard() {
    if (ended.compareAndSet(false, true)) {
      gateway.onDiscarded(connection);
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
