package org.sardinebay.endpoint;

import java.util.concurrent.CompletableFuture;
import org.sardinebay.Address;

/**
 * Sends calls to database members.
 *
 * <pre>{@code
 * client.call(member, new EndpointCall.Progress(3, 0, 0), 500)
 *     .thenAccept(reply -> ...);
 * }</pre>
 */
public interface EndpointClient {
  /**
   * Sends one call.
   *
   * @param member the address of the member
   * @param call the call
   * @param timeoutMillis how long to wait for the reply, in milliseconds
   * @return the reply; network failures are returned as {@link EndpointReply.NotSent} or {@link
   *     EndpointReply.NoReply}, never as an exception
   */
  CompletableFuture<EndpointReply> call(Address member, EndpointCall call, long timeoutMillis);
}
