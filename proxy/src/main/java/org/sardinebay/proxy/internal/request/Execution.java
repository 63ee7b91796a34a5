package org.sardinebay.proxy.internal.request;

import java.util.Optional;
import org.sardinebay.CallerId;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.internal.request.RequestDeadline;

/**
 * What a flow runs at an endpoint.
 *
 * @param caller who asked
 * @param kind what the statement is
 * @param statement its text
 * @param key its idempotency key, for writes
 * @param callerKey the key as the caller knows it
 * @param deadline when the answer is due
 */
public record Execution(
    CallerId caller,
    StatementKind kind,
    String statement,
    Optional<IdempotencyKey> key,
    Optional<String> callerKey,
    RequestDeadline deadline) {

  /**
   * The same with another kind, such as the revocation of a write's key.
   *
   * @param other the other kind
   * @return an execution with the same key and deadline
   */
  public Execution withKind(StatementKind other) {
    return new Execution(caller, other, statement, key, callerKey, deadline);
  }
}
