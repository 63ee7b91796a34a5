package org.sardinebay.proxy.internal.version;

import java.util.concurrent.CompletableFuture;

/**
 * A decision made on a database's view, and the view's next change.
 *
 * @param decision what was decided
 * @param nextChange completes when the view changes after the decision
 * @param <T> the decision's type
 */
public record ViewDecision<T>(T decision, CompletableFuture<Void> nextChange) {}
