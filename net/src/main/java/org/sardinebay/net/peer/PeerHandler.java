package org.sardinebay.net.peer;

import java.util.concurrent.CompletableFuture;
import org.sardinebay.net.peer.generated.Frame;

/** Handles calls from other processes. Called on an event loop thread and must not block. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Handles one call.
   *
   * @param call the call
   * @return the reply, which may be completed on any thread; the server sets its correlation
   *     number. If the future fails, no reply is sent.
   */
  CompletableFuture<Frame> handle(Frame call);

  /** Called when the connection of this handler is closed. */
  default void disconnected() {}
}
