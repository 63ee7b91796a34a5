package org.sardinebay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A validated request of a caller.
 *
 * @param requestId identifies the request in logs and in its answer
 * @param caller the caller that sent the request
 * @param database the database
 * @param kind the kind of the request
 * @param statement the statement's text, passed to the endpoint; empty for begin, commit and
 *     rollback
 * @param token the session's token, if the caller has one
 * @param maxAgeMillis for reads: the maximum age of the data in milliseconds, if the caller states
 *     one
 * @param repeatable whether the caller allows the request to run more than once
 * @param idempotencyKey the caller's key for a write or commit, if it states one
 * @param timeoutMillis the time left for the answer, in milliseconds
 * @param transaction the open transaction that the request belongs to, if any
 */
public record CallerRequest(
    String requestId,
    CallerId caller,
    DatabaseId database,
    RequestKind kind,
    String statement,
    Optional<String> token,
    OptionalLong maxAgeMillis,
    boolean repeatable,
    Optional<String> idempotencyKey,
    long timeoutMillis,
    Optional<String> transaction) {

  /**
   * Copies the request with an idempotency key.
   *
   * @param key the key
   * @return a copy
   */
  public CallerRequest withIdempotencyKey(String key) {
    return new CallerRequest(
        requestId,
        caller,
        database,
        kind,
        statement,
        token,
        maxAgeMillis,
        repeatable,
        Optional.of(key),
        timeoutMillis,
        transaction);
  }

  /**
   * Copies the request with a different timeout.
   *
   * @param millis the time left for the answer, in milliseconds
   * @return a copy
   */
  public CallerRequest withTimeoutMillis(long millis) {
    return new CallerRequest(
        requestId,
        caller,
        database,
        kind,
        statement,
        token,
        maxAgeMillis,
        repeatable,
        idempotencyKey,
        millis,
        transaction);
  }
}
