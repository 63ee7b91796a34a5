package org.sardinebay.net.http;

import java.util.concurrent.CompletableFuture;

/** Handles the requests of one route. Called on an event loop thread and must not block. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Handles one request.
   *
   * @param request the request
   * @return the response; may be completed on any thread
   */
  CompletableFuture<HttpServerResponse> handle(HttpServerRequest request);
}
