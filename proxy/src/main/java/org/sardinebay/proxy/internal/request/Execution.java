package org.sardinebay.proxy.internal.request;

import java.util.Optional;
import org.sardinebay.CallerId;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.internal.request.RequestDeadline;

/**
 * A statement as a flow runs it on an endpoint.
 *
 * @param caller the caller that sent the request
 * @param kind the kind of statement
 * @param statement the text of the statement
 * @param key the idempotency key that is sent to the endpoint, for writes and commits
 * @param callerKey the idempotency key as the caller knows it
 * @param deadline the time by which the caller must have an answer
 */
public record Execution(
    CallerId caller,
    StatementKind kind,
    String statement,
    Optional<IdempotencyKey> key,
    Optional<String> callerKey,
    RequestDeadline deadline) {

  /**
   * Returns a copy with another kind, such as one that revokes a write's idempotency key.
   *
   * @param other the new kind
   * @return an execution that is equal except for its kind
   */
  public Execution withKind(StatementKind other) {
    return new Execution(caller, other, statement, key, callerKey, deadline);
  }
}
