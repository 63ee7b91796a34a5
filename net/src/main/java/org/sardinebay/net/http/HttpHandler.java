package org.sardinebay.net.http;

import java.util.concurrent.CompletableFuture;

/** Answers the requests of one route. Called on a server thread; must not block. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Answers one request.
   *
   * @param call the request
   * @return the reply; may be completed on any thread
   */
  CompletableFuture<HttpReply> handle(HttpCall call);
}
