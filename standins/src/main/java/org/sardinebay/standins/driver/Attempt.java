package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Position;

/**
 * One request sent to one proxy, with the response that the caller received.
 *
 * @param kind the kind of request
 * @param database the database that the request named
 * @param proxy the proxy that the request was sent to
 * @param sentMillis when the request was sent, in milliseconds on the driver's clock
 * @param endMillis when the response arrived or the caller timed out, in milliseconds on the
 *     driver's clock
 * @param outcome the outcome for the caller
 * @param answer the remaining fields of the response
 */
record Attempt(
    CallKind kind,
    String database,
    String proxy,
    long sentMillis,
    long endMillis,
    Outcome outcome,
    Details answer) {

  /**
   * The fields of a response other than its outcome.
   *
   * @param code the failure code, empty if the request was done
   * @param rows the rows that a read or statement returned, else empty
   * @param position the position of the write, or of the last entry that the read saw
   * @param replay whether the write had already been applied by an earlier attempt
   * @param transaction the transaction's name, in the response to begin
   * @param idempotencyKey the idempotency key that the response echoes
   * @param servedBy the member that served the request
   * @param retryAfterMillis how long the caller should wait before it retries, in milliseconds
   */
  record Details(
      String code,
      List<String> rows,
      Optional<Position> position,
      boolean replay,
      Optional<String> transaction,
      Optional<String> idempotencyKey,
      ServedBy servedBy,
      long retryAfterMillis) {
    static final Details NONE =
        new Details(
            "",
            List.of(),
            Optional.empty(),
            false,
            Optional.empty(),
            Optional.empty(),
            new ServedBy("", "", ""),
            0);
  }

  /**
   * The member that served a request.
   *
   * @param member the member's id
   * @param role the role in which the member served the request
   * @param reason why the proxy routed the request to this member
   */
  record ServedBy(String member, String role, String reason) {}

  boolean isDone() {
    return outcome == Outcome.DONE;
  }

  /** Returns whether the request may have run although the caller has no confirmation. */
  boolean isUncertain() {
    return outcome == Outcome.UNKNOWN || outcome == Outcome.NO_ANSWER;
  }

  long latencyMillis() {
    return endMillis - sentMillis;
  }
}
