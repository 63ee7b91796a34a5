package org.sardinebay.proxy.internal.request;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.Answer;
import org.sardinebay.Failure;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.internal.request.WriteStateMachine;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;

/**
 * Resolves the outcome of an idempotency key: either the write with this key took effect, or a
 * tombstone permanently revokes the key.
 *
 * <pre>{@code
 * IdempotencyKeyResolver.resolve(runtime, context, execution).thenAccept(answer -> ...);
 * }</pre>
 */
public final class IdempotencyKeyResolver {
  /** The rows that a tombstone's log entry returns in place of a statement's rows. */
  private static final List<String> TOMBSTONE_ROWS = List.of("revoked");

  private IdempotencyKeyResolver() {}

  /**
   * Writes a tombstone unless a write with this key took effect, and waits until the
   * acknowledgement policy is met for whichever of the two is in the log.
   *
   * @param runtime the shared services of the proxy
   * @param context the database
   * @param execution the write or commit that carries the key
   * @return done with the rows of the write, not-run if the key is revoked now, or unknown
   */
  public static CompletableFuture<Answer> resolve(
      ProxyRuntime runtime, DatabaseContext context, Execution execution) {
    Execution revocation = execution.withKind(StatementKind.REVOKE);
    return new WriteFlow(runtime, context, revocation, true)
        .start()
        .thenApply(IdempotencyKeyResolver::tombstoneToNotRun);
  }

  /**
   * Converts a tombstone to a not-run answer for the caller.
   *
   * @param answer the answer of a flow that revoked a key
   * @return not-run if the answer is a tombstone, otherwise the unchanged answer
   */
  static Answer tombstoneToNotRun(Answer answer) {
    if (answer instanceof Answer.Done done && done.rows().equals(TOMBSTONE_ROWS)) {
      return new Answer.NotRun(
          new Failure.Revoked(), WriteStateMachine.RETRY_AFTER_OVERLOAD_MILLIS);
    }
    return answer;
  }
}
