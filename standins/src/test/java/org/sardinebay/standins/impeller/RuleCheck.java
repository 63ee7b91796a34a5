package org.sardinebay.standins.impeller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sardinebay.standins.impeller.MemberRecording.RanStatement;
import org.sardinebay.standins.impeller.RecordedCaller.Attempt;

/**
 * Compares what callers were answered with what the members ran, and names the rules that were
 * broken. The data of each write have to be unique, and no transaction may write an item twice.
 */
final class RuleCheck {
  private static final Set<String> SIGNED = Set.of("READ", "WRITE", "EXEC", "COMMIT");
  private static final Set<String> PROMISES =
      Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY");

  private final LineProtocolPlatform platform;
  private final List<Attempt> attempts;
  private final Map<String, Attempt> byId;
  private final List<RanStatement> ran;
  private final Map<String, List<RanStatement>> ranById;
  private final Map<String, Attempt> commits = new HashMap<>();
  private final Set<String> values = new HashSet<>();
  private final Set<String> shapes = new HashSet<>();
  private final Map<String, List<String>> committed = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  private RuleCheck(LineProtocolPlatform platform, List<Attempt> attempts) {
    this.platform = platform;
    this.attempts = attempts;
    this.byId = attempts.stream().collect(Collectors.toMap(Attempt::id, Function.identity()));
    this.ran =
        platform.members().stream()
            .flatMap(member -> member.recording().statements().stream())
            .toList();
    this.ranById = ran.stream().collect(Collectors.groupingBy(RanStatement::requestId));
    for (Attempt attempt : attempts) {
      switch (attempt.kind()) {
        case "SET" -> values.add(attempt.text());
        case "PREPARE" -> shapes.add(attempt.text().split(" ", 3)[2]);
        case "COMMIT" -> attempt.transaction().ifPresent(id -> commits.put(id, attempt));
        default -> {}
      }
    }
  }

  /** Returns the violations, each beginning with the name of a rule. */
  static List<String> violations(LineProtocolPlatform platform, List<Attempt> attempts) {
    RuleCheck check = new RuleCheck(platform, attempts);
    check.ran.forEach(check::checkRun);
    check.attempts.forEach(check::checkAttempt);
    return check.violations;
  }

  private void checkRun(RanStatement run) {
    if (run.requestId().equals("-")) {
      if (!isInternal(run.text())) {
        violations.add("UNASKED " + run.text());
      }
      return;
    }
    Attempt attempt = byId.get(run.requestId());
    if (attempt == null) {
      violations.add("UNASKED " + run.requestId() + " " + run.text());
    } else if (!sameText(attempt, run.text())) {
      violations.add("UNASKED " + run.text() + ", sent was " + attempt.text());
    } else if (SIGNED.contains(attempt.kind())) {
      checkState(attempt, run);
    }
  }

  private void checkState(Attempt attempt, RanStatement run) {
    if (!run.transaction().equals(attempt.transaction())) {
      violations.add(
          "PINNED " + run.text() + " in " + run.transaction() + ", not " + attempt.transaction());
    }
    if (!run.values().equals(attempt.values())) {
      violations.add(
          "PINNED " + run.text() + " with " + run.values() + ", not " + attempt.values());
    }
    if (!run.shape().equals(attempt.shape())) {
      violations.add("PINNED " + run.text() + " as " + run.shape() + ", not " + attempt.shape());
    }
  }

  private boolean isInternal(String text) {
    String[] words = text.split(" ", 3);
    return switch (words[0]) {
      case "RESET", "STATUS", "RESUME", "PAUSE", "DEMOTE", "ROLLBACK" -> true;
      case "SET" -> values.contains(text);
      case "PREPARE" -> shapes.contains(words[2]);
      default -> false;
    };
  }

  private static boolean sameText(Attempt attempt, String text) {
    String plain = text.startsWith("AFTER ") ? text.split(" ", 3)[2] : text;
    if (!attempt.kind().equals("EXEC") || !plain.startsWith("EXEC ")) {
      return plain.equals(attempt.text());
    }
    return plain.split(" ", 3)[2].equals(attempt.text().split(" ", 3)[2]);
  }

  private void checkAttempt(Attempt attempt) {
    if (SIGNED.contains(attempt.kind()) && attempt.succeeded()) {
      boolean answered =
          ranById.getOrDefault(attempt.id(), List.of()).stream()
              .map(RanStatement::answer)
              .anyMatch(
                  answer ->
                      answer.outcome().equals(attempt.outcome())
                          && answer.rows().equals(attempt.rows()));
      if (!answered) {
        violations.add("MIXED " + attempt.text() + " answered " + attempt.answer());
      }
    }
    write(attempt).ifPresent(write -> checkWrite(attempt, write));
  }

  private record Write(String item, String data) {}

  private static Optional<Write> write(Attempt attempt) {
    String[] words = attempt.text().split(" ", 4);
    if (words[0].equals("WRITE")) {
      String[] parts = attempt.text().split(" ", 3);
      return Optional.of(new Write(parts[1], parts[2]));
    }
    if (attempt.shape().filter(shape -> shape.startsWith("WRITE")).isPresent()) {
      return Optional.of(new Write(words[2], words[3]));
    }
    return Optional.empty();
  }

  private void checkWrite(Attempt attempt, Write write) {
    long kept =
        committed.computeIfAbsent(write.item(), platform.group()::committed).stream()
            .filter(write.data()::equals)
            .count();
    if (kept > 1) {
      violations.add("TWICE " + attempt.text() + " kept " + kept + " times");
    }
    if (kept > 0 && promisedNothing(attempt)) {
      violations.add("REFUSED " + attempt.text() + " kept, answered " + attempt.outcome());
    }
    Optional<Attempt> commit = commitOf(attempt);
    boolean acknowledged =
        attempt.transaction().isEmpty()
            ? attempt.succeeded()
            : attempt.succeeded() && commit.filter(Attempt::succeeded).isPresent();
    if (kept == 0 && acknowledged) {
      violations.add("LOST " + attempt.text() + " answered " + attempt.outcome());
    }
    if (kept > 0 && attempt.transaction().isPresent()) {
      if (commit.isEmpty()) {
        violations.add("UNASKED " + attempt.text() + " kept without its commit");
      } else if (promisedNothing(commit.get())) {
        violations.add("REFUSED " + attempt.text() + " kept, commit " + commit.get().outcome());
      }
    }
  }

  private Optional<Attempt> commitOf(Attempt attempt) {
    return attempt.transaction().map(commits::get);
  }

  private static boolean promisedNothing(Attempt attempt) {
    String[] words = attempt.outcome().split(" ", 3);
    return words[0].equals("ERR") && PROMISES.contains(words[1]);
  }
}
