package org.sardinebay.proxy.internal.request;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.Answer;
import org.sardinebay.Failure;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.internal.request.WriteMachine;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;

/**
 * Finds out what became of an idempotency key: its effect, or a tombstone that voids it for good.
 *
 * <pre>{@code
 * KeyResolution.resolve(runtime, shard, execution).thenAccept(answer -> ...);
 * }</pre>
 */
public final class IdempotencyKeyResolver {
  /** What the entry of a tombstone returns in place of a statement's rows. */
  private static final List<String> TOMBSTONE_ROWS = List.of("revoked");

  private IdempotencyKeyResolver() {}

  /**
   * Enters a tombstone unless the key has an effect, and waits until a majority keeps either.
   *
   * @param runtime the proxy
   * @param shard the database
   * @param execution what the key stands for
   * @return done with the effect's rows, not-run if the key is void now, or unknown
   */
  public static CompletableFuture<Answer> resolve(
      ProxyRuntime runtime, DatabaseContext shard, Execution execution) {
    Execution revocation = execution.withKind(StatementKind.REVOKE);
    return new WriteFlow(runtime, shard, revocation, true)
        .start()
        .thenApply(IdempotencyKeyResolver::tombstoneToNotRun);
  }

  /**
   * Says of a tombstone what it means for the caller.
   *
   * @param answer the answer of a flow that revoked a key
   * @return not-run in place of a tombstone, any other answer unchanged
   */
  static Answer tombstoneToNotRun(Answer answer) {
    if (answer instanceof Answer.Done done && done.rows().equals(TOMBSTONE_ROWS)) {
      return new Answer.NotRun(new Failure.Revoked(), WriteMachine.RETRY_AFTER_OVERLOAD_MILLIS);
    }
    return answer;
  }
}
