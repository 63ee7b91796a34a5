package org.sardinebay.ctl.internal.request;

import java.util.Optional;
import org.sardinebay.net.log.LogLine;

/**
 * Concludes from a request's history why it ended as it did.
 *
 * <pre>{@code
 * Optional<String> cause = CauseFinder.cause(history);
 * }</pre>
 */
final class CauseFinder {
  private CauseFinder() {}

  /** The cause in words, empty if the lines don't tell. */
  static Optional<String> cause(RequestHistory history) {
    Optional<LogLine> failed = history.decision("statement_failed");
    if (failed.isEmpty()) {
      return history.decision("statement_done").map(done -> "none: the statement succeeded");
    }
    return switch (failed.get().field("code")) {
      case "BUSY" -> refused(history);
      case "IN_DOUBT" -> inDoubt(history);
      case "ABORTED" -> aborted(history, failed.get());
      case "TIMEOUT" -> timedOut(history);
      case "FAILED" -> Optional.of("the member ran the statement and reported a failure");
      default -> Optional.of("the statement itself: " + failed.get().field("text"));
    };
  }

  private static Optional<String> refused(RequestHistory history) {
    Optional<LogLine> place = history.decision("place_not_found");
    if (place.isEmpty()) {
      return lastOutcome(history).map(outcome -> "every attempt failed, the last with " + outcome);
    }
    LogLine line = place.get();
    boolean needsPrimary = line.field("needs").equals("primary");
    if (needsPrimary && !line.field("unusable_millis").equals("0")) {
      return Optional.of(
          "no primary could be relied upon for "
              + line.field("unusable_millis")
              + " ms"
              + whyNoPrimary(history));
    }
    if (line.field("reachable_members").equals("0")) {
      return Optional.of("no member of the service could be reached from this host");
    }
    if (line.field("members").isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        "all connections of this host to the members were in use ("
            + line.field("members")
            + "), with "
            + line.field("waiting")
            + " statements waiting"
            + history
                .around("member_refused_connection")
                .map(refusal -> "; a member refused another one with " + refusal.field("code"))
                .orElse(""));
  }

  private static String whyNoPrimary(RequestHistory history) {
    Optional<LogLine> needed =
        history
            .around("primary_change_needed", line -> !line.field("primary").equals("-"))
            .or(() -> history.around("primary_change_needed"));
    if (needed.isPresent()) {
      return ": the primary was "
          + needed.get().field("primary")
          + ", replaced because "
          + needed.get().field("cause");
    }
    return history
        .around("member_unreachable")
        .map(lost -> ": " + lost.field("member") + " could not be reached, " + lost.field("cause"))
        .or(() -> history.around("started").map(started -> ": the host had just started"))
        .orElse("");
  }

  private static Optional<String> inDoubt(RequestHistory history) {
    Optional<LogLine> forward = history.decision("forward_failed");
    if (forward.isPresent() && history.decision("attempt_failed").isEmpty()) {
      return Optional.of(
          "the home " + forward.get().field("home") + " that had the write gave no answer");
    }
    return history
        .decision("attempt_failed")
        .map(
            attempt ->
                attempt.field("outcome").startsWith("LeaseLost")
                    ? "the answer of "
                        + attempt.field("member")
                        + " came when it could not be relied upon as the primary any more"
                        + changeOfPrimary(history)
                    : "the answer of "
                        + attempt.field("member")
                        + " to a write that had been sent was lost"
                        + changeOfPrimary(history));
  }

  private static String changeOfPrimary(RequestHistory history) {
    return history
        .around("primary_change_started")
        .map(
            change ->
                "; the primary "
                    + change.field("old")
                    + " was replaced because "
                    + change.field("cause"))
        .or(
            () ->
                history
                    .around("member_unreachable")
                    .map(lost -> "; " + lost.field("member") + " was " + lost.field("cause")))
        .orElse("");
  }

  private static Optional<String> aborted(RequestHistory history, LogLine failed) {
    return Optional.of(failed.field("text") + changeOfPrimary(history));
  }

  private static Optional<String> timedOut(RequestHistory history) {
    return lastOutcome(history).map(outcome -> "no answer in time, the last attempt: " + outcome);
  }

  private static Optional<String> lastOutcome(RequestHistory history) {
    return history
        .decision("attempt_failed")
        .map(attempt -> attempt.field("outcome") + " at " + attempt.field("member"))
        .or(
            () ->
                history
                    .decision("forward_failed")
                    .map(f -> f.field("outcome") + " from the home " + f.field("home")));
  }
}
