package org.sardinebay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The final answer to a request, with one of four outcomes. */
public sealed interface Answer {

  /**
   * The request ran.
   *
   * @param rows the rows that the statement returned
   * @param position for writes the log entry with the effect, for reads the last entry that the
   *     rows reflect; absent inside transactions
   * @param replay whether the idempotency key already had this effect, so that nothing ran now
   * @param transaction the id of the transaction, if the request began one
   * @param idempotencyKey for writes and commits: the key that the effect is recorded under
   * @param ageMillis for reads with a maximum age: an upper bound of the age of the rows, in
   *     milliseconds
   * @param servedBy where the request ran, and why there
   */
  record Done(
      List<String> rows,
      Optional<Position> position,
      boolean replay,
      Optional<String> transaction,
      Optional<String> idempotencyKey,
      OptionalLong ageMillis,
      ServedBy servedBy)
      implements Answer {}

  /**
   * The request did not run and will not run later.
   *
   * @param failure the reason
   * @param retryAfterMillis after how many milliseconds the caller may retry
   */
  record NotRun(Failure failure, long retryAfterMillis) implements Answer {}

  /**
   * The request is invalid: it did not run, and the same request would be refused again.
   *
   * @param failure the reason
   */
  record Refused(Failure failure) implements Answer {}

  /**
   * The request may have run. Sending it again with the same key to any proxy returns its outcome,
   * or runs it if it has not run.
   *
   * @param failure the reason why the outcome is unknown
   * @param idempotencyKey the key to send the request with again
   */
  record Unknown(Failure failure, Optional<String> idempotencyKey) implements Answer {}

  /**
   * Where a request ran.
   *
   * @param member the member
   * @param primary whether the member was believed to be the primary
   * @param reason why the request went there
   */
  record ServedBy(MemberId member, boolean primary, RouteReason reason) {}
}
