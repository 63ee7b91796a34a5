package org.sardinebay.ctl.internal.request;

import java.util.Optional;
import org.sardinebay.net.log.LogLine;

/**
 * Determines the cause of a request's outcome from its history.
 *
 * <pre>{@code
 * Optional<String> cause = CauseFinder.cause(history);
 * }</pre>
 */
final class CauseFinder {
  private CauseFinder() {}

  /** Returns a description of the cause, or empty if the log lines don't show it. */
  static Optional<String> cause(RequestHistory history) {
    Optional<LogLine> failed = history.requestLine("statement_failed");
    if (failed.isEmpty()) {
      return history.requestLine("statement_done").map(done -> "none: the statement succeeded");
    }
    return switch (failed.get().field("code")) {
      case "BUSY" -> busyCause(history, failed.get());
      case "IN_DOUBT" -> inDoubtCause(history);
      case "ABORTED" -> abortedCause(history, failed.get());
      case "TIMEOUT" -> timeoutCause(history);
      case "FAILED" -> Optional.of("the member ran the statement and reported a failure");
      default -> Optional.of("the statement itself: " + failed.get().field("text"));
    };
  }

  private static Optional<String> busyCause(RequestHistory history, LogLine failed) {
    Optional<LogLine> rejected =
        history
            .requestLine("statement_rejected_on_arrival")
            .or(() -> history.requestLine("statement_rejected_waiting"));
    if (rejected.isPresent()) {
      return Optional.of(
          "it would have waited "
              + rejected.get().field("expected_millis")
              + " ms for a connection, beyond its deadline, and was rejected after "
              + rejected.get().field("elapsed_millis")
              + " ms");
    }
    Optional<LogLine> placeNotFound = history.requestLine("place_not_found");
    if (placeNotFound.isEmpty()) {
      if (failed.field("text").contains("overloaded")) {
        return Optional.of("the caller's host was late with its own work and did not begin it");
      }
      if (failed.field("text").contains("quota")) {
        return Optional.of(
            "the quota of workspace "
                + failed.field("workspace")
                + " was used up: the keepers asked had no tokens"
                + history
                    .contextLine("quota_keeper_unanswered")
                    .map(line -> "; the keeper " + line.field("keeper") + " did not answer")
                    .orElse(""));
      }
      return lastOutcome(history).map(outcome -> "every attempt failed, the last with " + outcome);
    }
    LogLine line = placeNotFound.get();
    boolean needsPrimary = line.field("needs").equals("primary");
    if (needsPrimary && !line.field("unusable_millis").equals("0")) {
      return Optional.of(
          "no primary could be relied upon for "
              + line.field("unusable_millis")
              + " ms"
              + missingPrimaryCause(history));
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
                .contextLine("member_refused_connection")
                .map(
                    refusal ->
                        "; a member refused a further connection with " + refusal.field("code"))
                .orElse(""));
  }

  private static String missingPrimaryCause(RequestHistory history) {
    Optional<LogLine> needed =
        history
            .contextLine("primary_change_needed", line -> !line.field("primary").equals("-"))
            .or(() -> history.contextLine("primary_change_needed"));
    if (needed.isPresent()) {
      return ": the primary was "
          + needed.get().field("primary")
          + ", replaced because "
          + needed.get().field("cause");
    }
    return history
        .contextLine("member_unreachable")
        .map(lost -> ": " + lost.field("member") + " could not be reached, " + lost.field("cause"))
        .or(() -> history.contextLine("started").map(started -> ": the host had just started"))
        .orElse("");
  }

  private static Optional<String> inDoubtCause(RequestHistory history) {
    Optional<LogLine> forward = history.requestLine("forward_failed");
    if (forward.isPresent() && history.requestLine("attempt_failed").isEmpty()) {
      return Optional.of(
          "the write was forwarded to the home "
              + forward.get().field("home")
              + ", which did not reply");
    }
    return history
        .requestLine("attempt_failed")
        .map(
            attempt ->
                attempt.field("outcome").startsWith("LeaseLost")
                    ? "the answer of "
                        + attempt.field("member")
                        + " arrived after its lease as the primary had expired"
                        + primaryChangeCause(history)
                    : "the answer of "
                        + attempt.field("member")
                        + " to a write that had been sent was lost"
                        + primaryChangeCause(history));
  }

  private static String primaryChangeCause(RequestHistory history) {
    return history
        .contextLine("primary_change_started")
        .map(
            change ->
                "; the primary "
                    + change.field("old")
                    + " was replaced because "
                    + change.field("cause"))
        .or(
            () ->
                history
                    .contextLine("member_unreachable")
                    .map(lost -> "; " + lost.field("member") + " was " + lost.field("cause")))
        .orElse("");
  }

  private static Optional<String> abortedCause(RequestHistory history, LogLine failed) {
    return Optional.of(failed.field("text") + primaryChangeCause(history));
  }

  private static Optional<String> timeoutCause(RequestHistory history) {
    return lastOutcome(history).map(outcome -> "no answer in time, the last attempt: " + outcome);
  }

  private static Optional<String> lastOutcome(RequestHistory history) {
    return history
        .requestLine("attempt_failed")
        .map(attempt -> attempt.field("outcome") + " at " + attempt.field("member"))
        .or(
            () ->
                history
                    .requestLine("forward_failed")
                    .map(
                        forward ->
                            forward.field("outcome") + " from the home " + forward.field("home")));
  }
}
