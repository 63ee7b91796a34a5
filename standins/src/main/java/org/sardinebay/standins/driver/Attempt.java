package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Position;

/**
 * One request sent to one proxy, and what its caller saw.
 *
 * @param kind what the request was
 * @param database the database it named
 * @param proxy the proxy it was sent to
 * @param sentMillis when it was sent, on the driver's clock
 * @param endMillis when its answer came, or the caller gave up
 * @param outcome what it came to
 * @param answer the rest of the answer
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
   * What an answer says besides its outcome.
   *
   * @param code why the request was not done, empty if it was
   * @param rows the rows
   * @param position the position of the effect or of the last entry seen
   * @param replay whether the effect had been there already
   * @param transaction the transaction's name, after begin
   * @param idempotencyKey the key that the answer echoes
   * @param servedBy where it ran
   * @param retryAfterMillis when the caller may come back
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
   * Where a request ran.
   *
   * @param member the member
   * @param role what it was taken as
   * @param reason why the request went there
   */
  record ServedBy(String member, String role, String reason) {}

  boolean isDone() {
    return outcome == Outcome.DONE;
  }

  /** Whether the request may have run without the caller knowing. */
  boolean isUncertain() {
    return outcome == Outcome.UNKNOWN || outcome == Outcome.NO_ANSWER;
  }

  long latencyMillis() {
    return endMillis - sentMillis;
  }
}
