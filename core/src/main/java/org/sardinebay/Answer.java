package org.sardinebay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The final answer to a request: one of four outcomes. */
public sealed interface Answer {

  /**
   * The request ran.
   *
   * @param rows what the statement returned
   * @param position for writes the entry with the effect, for reads the last entry seen; absent
   *     inside transactions
   * @param replay whether the effect had been there already
   * @param transaction the transaction's name, after begin
   * @param idempotencyKey the key that the effect carries, for writes and commits
   * @param ageMillis an upper bound for the age of the rows, for reads of a stated age
   * @param servedBy where it ran and why there
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
   * The request did not run and never will.
   *
   * @param failure why
   * @param retryAfterMillis when the caller may come back
   */
  record NotRun(Failure failure, long retryAfterMillis) implements Answer {}

  /**
   * The request is wrong; it did not run, and the same request will not be taken later.
   *
   * @param failure why
   */
  record Refused(Failure failure) implements Answer {}

  /**
   * The request may have run. The same key at any proxy tells, or runs it then.
   *
   * @param failure what is not known
   * @param idempotencyKey the key to ask with
   */
  record Unknown(Failure failure, Optional<String> idempotencyKey) implements Answer {}

  /**
   * Where a request ran.
   *
   * @param member the member
   * @param primary whether it was taken as the primary
   * @param reason why the request went there
   */
  record ServedBy(MemberId member, boolean primary, RouteReason reason) {}
}
