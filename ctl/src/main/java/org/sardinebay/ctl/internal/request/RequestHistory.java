package org.sardinebay.ctl.internal.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.sardinebay.net.log.LogLine;

/**
 * The lines about one request, and those around it that tell what its service and its host were
 * going through.
 *
 * @param decisions lines that name the request, in order of time
 * @param surroundings lines about its service, the store and its host, in order of time
 */
record RequestHistory(List<SourcedLine> decisions, List<SourcedLine> surroundings) {
  /**
   * How long before the request something may have begun that explains its end, in milliseconds:
   * above the longest change of primary.
   */
  private static final long BEFORE_MILLIS = 8_000;

  /** How long after it something may still be logged that explains it, in milliseconds. */
  private static final long AFTER_MILLIS = 1_500;

  private static final Comparator<SourcedLine> BY_TIME =
      Comparator.comparingLong(sourced -> sourced.line().timeMillis());

  /** Events about a service that explain what its statements met. */
  private static final Set<String> OF_SERVICE =
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

  /** Events about a host that explain what its statements met. */
  private static final Set<String> OF_HOST =
      Set.of("started", "shutdown_started", "shutdown_ended", "home_lost", "tick_failed");

  static RequestHistory of(String request, List<SourcedLine> all) {
    List<SourcedLine> decisions =
        all.stream()
            .filter(sourced -> sourced.line().field("request").equals(request))
            .sorted(BY_TIME)
            .toList();
    if (decisions.isEmpty()) {
      return new RequestHistory(List.of(), List.of());
    }
    LogLine last = decisions.get(decisions.size() - 1).line();
    long from = decisions.get(0).line().timeMillis() - BEFORE_MILLIS;
    long to = last.timeMillis() + AFTER_MILLIS;
    String service = last.field("service");
    List<String> hosts = decisions.stream().map(SourcedLine::source).distinct().toList();
    List<SourcedLine> surroundings = new ArrayList<>();
    for (SourcedLine sourced : all) {
      LogLine line = sourced.line();
      boolean near = line.timeMillis() >= from && line.timeMillis() <= to;
      boolean ofService =
          OF_SERVICE.contains(line.event()) && line.field("service").equals(service);
      boolean ofHost = OF_HOST.contains(line.event()) && hosts.contains(sourced.source());
      if (near && (ofService || ofHost)) {
        surroundings.add(sourced);
      }
    }
    surroundings.sort(BY_TIME);
    return new RequestHistory(decisions, surroundings);
  }

  /** The last decision of an event. */
  Optional<LogLine> decision(String event) {
    return last(decisions, event, line -> true);
  }

  /** The last line of an event around the request. */
  Optional<LogLine> around(String event) {
    return last(surroundings, event, line -> true);
  }

  /** The last line of an event around the request that meets a condition. */
  Optional<LogLine> around(String event, Predicate<LogLine> condition) {
    return last(surroundings, event, condition);
  }

  private static Optional<LogLine> last(
      List<SourcedLine> lines, String event, Predicate<LogLine> condition) {
    return lines.stream()
        .map(SourcedLine::line)
        .filter(line -> line.event().equals(event) && condition.test(line))
        .reduce((earlier, later) -> later);
  }
}
