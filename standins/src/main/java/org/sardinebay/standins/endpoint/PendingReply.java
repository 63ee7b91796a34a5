package org.sardinebay.standins.endpoint;

import java.util.concurrent.CompletableFuture;
import org.sardinebay.net.http.HttpReply;

/**
 * Someone who waits for a reply.
 *
 * @param correlation what the reply echoes
 * @param execute whether the call runs a statement
 * @param reply where the reply goes
 */
record PendingReply(String correlation, boolean execute, CompletableFuture<HttpReply> reply) {}
