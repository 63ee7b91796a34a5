package org.sardinebay.standins.endpoint;

import java.util.concurrent.CompletableFuture;
import org.sardinebay.net.http.HttpServerResponse;

/**
 * A call whose reply is pending.
 *
 * @param correlation the correlation id that the reply repeats
 * @param execute whether the call runs a statement
 * @param reply completed with the reply
 */
record PendingReply(
    String correlation, boolean execute, CompletableFuture<HttpServerResponse> reply) {}
