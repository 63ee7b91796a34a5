package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Position;

/** Builds attempts for test histories. */
final class Attempts {
  static final String DATABASE = "contracts-1";
  private static final String PROXY = "waco-1";
  private static final long LATENCY_MILLIS = 5;

  private Attempts() {}

  static Attempt read(long sentMillis, String... rows) {
    return done(CallKind.READ, sentMillis, List.of(rows), Optional.empty(), Optional.empty());
  }

  static Attempt write(String key, long sentMillis, long term, long index) {
    return done(
        CallKind.WRITE,
        sentMillis,
        List.of(),
        Optional.of(new Position(term, index)),
        Optional.of(key));
  }

  static Attempt commit(String key, long sentMillis, long index) {
    return done(
        CallKind.COMMIT,
        sentMillis,
        List.of(),
        Optional.of(new Position(1, index)),
        Optional.of(key));
  }

  static Attempt begin(long sentMillis) {
    return done(CallKind.BEGIN, sentMillis, List.of(), Optional.empty(), Optional.empty());
  }

  static Attempt failed(CallKind kind, Outcome outcome, String code, long sentMillis) {
    Attempt.Details none = Attempt.Details.NONE;
    Attempt.Details details =
        new Attempt.Details(
            code,
            none.rows(),
            none.position(),
            false,
            none.transaction(),
            none.idempotencyKey(),
            none.servedBy(),
            0);
    return new Attempt(
        kind, DATABASE, PROXY, sentMillis, sentMillis + LATENCY_MILLIS, outcome, details);
  }

  private static Attempt done(
      CallKind kind,
      long sentMillis,
      List<String> rows,
      Optional<Position> position,
      Optional<String> key) {
    Attempt.Details details =
        new Attempt.Details(
            "",
            rows,
            position,
            false,
            Optional.empty(),
            key,
            new Attempt.ServedBy("contracts-1-a", "primary", ""),
            0);
    return new Attempt(
        kind, DATABASE, PROXY, sentMillis, sentMillis + LATENCY_MILLIS, Outcome.DONE, details);
  }
}
