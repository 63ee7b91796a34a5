package org.sardinebay.ctl.internal.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.sardinebay.net.log.LogLine;

/**
 * The log lines about one request, and lines from the same period about its service and its hosts.
 *
 * @param requestLines lines that contain the request id, in order of time
 * @param contextLines lines about its service and its hosts, in order of time
 */
record RequestHistory(List<SourcedLine> requestLines, List<SourcedLine> contextLines) {
  /**
   * The time in milliseconds before the first line of the request from which context lines are
   * included. It exceeds the longest change of primary, which may explain the outcome.
   */
  private static final long CONTEXT_BEFORE_MILLIS = 8_000;

  /**
   * The time in milliseconds after the last line of the request up to which context lines are
   * included, for events that are logged late.
   */
  private static final long CONTEXT_AFTER_MILLIS = 1_500;

  private static final Comparator<SourcedLine> BY_TIME =
      Comparator.comparingLong(sourced -> sourced.line().timeMillis());

  /** Events about a service that may explain the outcome of its statements. */
  private static final Set<String> SERVICE_EVENTS =
      Set.of(
          "member_unreachable",
          "member_refused_connection",
          "member_gone",
          "primary_changed",
          "primary_change_needed",
          "primary_change_started",
          "primary_change_phase",
          "primary_change_stuck",
          "promotion_ordered");

  /** Events about a host that may explain the outcome of its statements. */
  private static final Set<String> HOST_EVENTS =
      Set.of("started", "shutdown_started", "shutdown_ended", "home_lost", "tick_failed");

  static RequestHistory of(String request, List<SourcedLine> all) {
    List<SourcedLine> requestLines =
        all.stream()
            .filter(sourced -> sourced.line().field("request").equals(request))
            .sorted(BY_TIME)
            .toList();
    if (requestLines.isEmpty()) {
      return new RequestHistory(List.of(), List.of());
    }
    LogLine last = requestLines.get(requestLines.size() - 1).line();
    long from = requestLines.get(0).line().timeMillis() - CONTEXT_BEFORE_MILLIS;
    long to = last.timeMillis() + CONTEXT_AFTER_MILLIS;
    String service = last.field("service");
    List<String> hosts = requestLines.stream().map(SourcedLine::source).distinct().toList();
    List<SourcedLine> contextLines = new ArrayList<>();
    for (SourcedLine sourced : all) {
      LogLine line = sourced.line();
      boolean inPeriod = line.timeMillis() >= from && line.timeMillis() <= to;
      boolean ofService =
          SERVICE_EVENTS.contains(line.event()) && line.field("service").equals(service);
      boolean ofHost = HOST_EVENTS.contains(line.event()) && hosts.contains(sourced.source());
      if (inPeriod && (ofService || ofHost)) {
        contextLines.add(sourced);
      }
    }
    contextLines.sort(BY_TIME);
    return new RequestHistory(requestLines, contextLines);
  }

  /** Returns the last line about the request with the given event. */
  Optional<LogLine> requestLine(String event) {
    return last(requestLines, event, line -> true);
  }

  /** Returns the last context line with the given event. */
  Optional<LogLine> contextLine(String event) {
    return last(contextLines, event, line -> true);
  }

  /** Returns the last context line with the given event that matches the condition. */
  Optional<LogLine> contextLine(String event, Predicate<LogLine> condition) {
    return last(contextLines, event, condition);
  }

  private static Optional<LogLine> last(
      List<SourcedLine> lines, String event, Predicate<LogLine> condition) {
    return lines.stream()
        .map(SourcedLine::line)
        .filter(line -> line.event().equals(event) && condition.test(line))
        .reduce((earlier, later) -> later);
  }
}
