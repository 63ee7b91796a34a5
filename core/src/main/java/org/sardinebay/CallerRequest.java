package org.sardinebay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A caller's request, checked.
 *
 * @param requestId names the request in logs and in its answer
 * @param caller who asks
 * @param database which database
 * @param kind what it is
 * @param statement the text for the endpoint, empty for begin, commit and rollback
 * @param token the session's token, if the caller has one
 * @param maxAgeMillis for reads: the greatest age accepted, if the caller states one
 * @param repeatable whether the caller allows that it runs more than once
 * @param idempotencyKey the caller's key for a write or commit, if it gave one
 * @param timeoutMillis how much time is left for the answer
 * @param transaction the open transaction that it belongs to, if any
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
   * The same request with an idempotency key.
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
   * The same request with another time left for its answer.
   *
   * @param millis the time that is left
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
