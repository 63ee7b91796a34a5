package org.sardinebay.standins.driver;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sardinebay.Position;

/**
 * Checks that no replaced primary acknowledges a write: a write that was sent after another write
 * was acknowledged has a later position, and no index is acknowledged in two terms.
 */
final class AcknowledgementOrderCheck implements HistoryCheck {
  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.NO_ACK_BY_REPLACED_PRIMARY);
    Map<String, List<Attempt>> byDatabase =
        history
            .doneWritesAndCommits()
            .filter(attempt -> attempt.answer().position().isPresent())
            .filter(attempt -> !attempt.answer().replay())
            .collect(Collectors.groupingBy(Attempt::database));
    byDatabase.values().forEach(attempts -> checkDatabase(result, attempts));
    return result;
  }

  private static void checkDatabase(CheckResult result, List<Attempt> attempts) {
    Deque<Attempt> byEndTime =
        attempts.stream()
            .sorted(Comparator.comparingLong(Attempt::endMillis))
            .collect(Collectors.toCollection(ArrayDeque::new));
    List<Attempt> bySendTime =
        attempts.stream().sorted(Comparator.comparingLong(Attempt::sentMillis)).toList();
    Map<Long, Position> byIndex = new HashMap<>();
    Position acknowledged = Position.ZERO;
    for (Attempt attempt : bySendTime) {
      while (!byEndTime.isEmpty() && byEndTime.peek().endMillis() < attempt.sentMillis()) {
        acknowledged = acknowledged.max(position(byEndTime.poll()));
      }
      Position position = position(attempt);
      Position sameIndex = byIndex.putIfAbsent(position.index(), position);
      result.check(
          position.compareTo(acknowledged) > 0 && (sameIndex == null || sameIndex.equals(position)),
          "%s at %s, sent at %d ms, after %s was acknowledged, index also of %s"
              .formatted(
                  attempt.database(), position, attempt.sentMillis(), acknowledged, sameIndex));
    }
  }

  private static Position position(Attempt attempt) {
    return attempt.answer().position().orElseThrow();
  }
}
