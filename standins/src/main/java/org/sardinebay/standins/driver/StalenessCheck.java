package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Checks that a bounded-staleness read returns every value that was acknowledged longer ago than
 * the read's maximum age, with a tolerance of 10 ms.
 */
final class StalenessCheck implements HistoryCheck {
  private static final long CLOCK_SLACK_MILLIS = 10;

  /** A value and the time at which its write was acknowledged. */
  private record Acknowledged(String value, long atMillis) {}

  @Override
  public CheckResult check(History history, FinalState state) {
    CheckResult result = new CheckResult(Invariant.AGE_WITHIN_BOUND);
    Map<FinalState.ListName, List<Acknowledged>> lists = acknowledged(history);
    for (Operation.Read read : history.reads()) {
      if (read.maxAgeMillis().isPresent() && read.attempt().isDone()) {
        checkRead(result, lists, read);
      }
    }
    return result;
  }

  private static void checkRead(
      CheckResult result, Map<FinalState.ListName, List<Acknowledged>> lists, Operation.Read read) {
    long maxAgeMillis = read.maxAgeMillis().orElseThrow();
    long boundMillis = read.attempt().sentMillis() - maxAgeMillis - CLOCK_SLACK_MILLIS;
    Set<String> rows = new HashSet<>(read.attempt().answer().rows());
    FinalState.ListName list = new FinalState.ListName(read.attempt().database(), read.key());
    List<String> missing =
        lists.getOrDefault(list, List.of()).stream()
            .filter(acknowledged -> acknowledged.atMillis() < boundMillis)
            .map(Acknowledged::value)
            .filter(value -> !rows.contains(value))
            .toList();
    result.check(
        missing.isEmpty(),
        "a read of %s of at most %d ms, sent at %d ms, misses %s; %s"
            .formatted(
                list,
                maxAgeMillis,
                read.attempt().sentMillis(),
                missing,
                read.attempt().answer().servedBy()));
  }

  private static Map<FinalState.ListName, List<Acknowledged>> acknowledged(History history) {
    Map<FinalState.ListName, List<Acknowledged>> lists = new HashMap<>();
    for (Operation.Write write : history.writes()) {
      addAcknowledged(lists, write.attempts(), write.key(), write.value());
    }
    for (Operation.Transaction transaction : history.transactions()) {
      addAcknowledged(
          lists, transaction.commits(), Keys.first(transaction.pair()), transaction.value());
      addAcknowledged(
          lists, transaction.commits(), Keys.second(transaction.pair()), transaction.value());
    }
    return lists;
  }

  private static void addAcknowledged(
      Map<FinalState.ListName, List<Acknowledged>> lists,
      List<Attempt> attempts,
      String key,
      String value) {
    Optional<Attempt> done = attempts.stream().filter(Attempt::isDone).findFirst();
    if (done.isPresent()) {
      FinalState.ListName list = new FinalState.ListName(done.get().database(), key);
      lists
          .computeIfAbsent(list, unused -> new ArrayList<>())
          .add(new Acknowledged(value, done.get().endMillis()));
    }
  }
}
