package org.sardinebay.net.peer;

import java.util.concurrent.CompletableFuture;
import org.sardinebay.net.peer.generated.Frame;

/** Answers the calls of other processes. Called on an event loop; must not block. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Answers one call.
   *
   * @param call the call
   * @return the answer, on any thread; its correlation number is filled in by the server. A future
   *     that fails sends no answer.
   */
  CompletableFuture<Frame> handle(Frame call);

  /** The connection that this handler was made for has ended. */
  default void disconnected() {}
}
