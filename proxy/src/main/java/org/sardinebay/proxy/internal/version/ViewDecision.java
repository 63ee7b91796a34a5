package org.sardinebay.proxy.internal.version;

import java.util.concurrent.CompletableFuture;

/**
 * A decision made on the view of a database, with a future for the next change of the view.
 *
 * @param decision the decision
 * @param nextChange completes when the view changes after the decision was made
 * @param <T> the type of the decision
 */
public record ViewDecision<T>(T decision, CompletableFuture<Void> nextChange) {}
