package org.sardinebay.standins.driver;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Prints measurements as {@code key=value}, one per line. */
final class MeasurementReport {
  private static final long MAX_MILLIS = 120_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String REPLICA = "replica";

  private final PrintStream out;

  MeasurementReport(PrintStream out) {
    this.out = out;
  }

  /** Prints the shares, rates and latencies under load, without faults. */
  void printLoad(
      History history,
      OracleRouter oracle,
      Map<String, String> primaries,
      long fromMillis,
      long toMillis) {
    List<Operation> operations = history.operations();
    Predicate<Attempt> inInterval =
        attempt -> attempt.sentMillis() >= fromMillis && attempt.endMillis() <= toMillis;
    Map<Operation.Read, Boolean> reads = oracle.classify(operations, primaries);
    reads.keySet().removeIf(read -> !inInterval.test(read.attempt()));
    printShares("", reads, read -> true);
    printShares("_session", reads, read -> read.maxAgeMillis().isEmpty());
    printShares("_aged", reads, read -> read.maxAgeMillis().isPresent());
    List<Attempt> attempts =
        operations.stream()
            .flatMap(operation -> operation.attempts().stream())
            .filter(inInterval)
            .toList();
    for (Outcome outcome : Outcome.values()) {
      long count = attempts.stream().filter(attempt -> attempt.outcome() == outcome).count();
      print(outcome.name().toLowerCase(Locale.ROOT), count);
    }
    long done = attempts.stream().filter(Attempt::isDone).count();
    print("goodput", done * MILLIS_PER_SECOND / (toMillis - fromMillis));
    printLatency("latency", attempts, attempt -> true);
    printLatency("read_latency", attempts, attempt -> attempt.kind() == CallKind.READ);
    printLatency("write_latency", attempts, attempt -> attempt.kind() == CallKind.WRITE);
    printLatency("commit_latency", attempts, attempt -> attempt.kind() == CallKind.COMMIT);
  }

  /** Prints the latency of direct reads from a member. */
  void printDirectReads(Histogram micros) {
    print("direct_read_latency_p50_ms", micros.getValueAtPercentile(50) / MICROS_PER_MILLI);
    print("direct_read_latency_p99_ms", micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    print("direct_read_latency_p999_ms", micros.getValueAtPercentile(99.9) / MICROS_PER_MILLI);
  }

  /**
   * Prints the time between the last completed write of one term and the first of a later term, and
   * the median duration of each phase.
   */
  void printFailovers(History history, List<MeasureCommand.Failover> failovers) {
    List<Attempt> writesAndCommits = history.doneWritesAndCommits().toList();
    Histogram gaps = histogram();
    Histogram detectionTimes = histogram();
    Histogram agreementTimes = histogram();
    Histogram firstWriteTimes = histogram();
    for (MeasureCommand.Failover failover : failovers) {
      FailoverTimer.Steps steps = failover.steps();
      Optional<Attempt> first = firstDoneInLaterTerm(writesAndCommits, failover);
      if (first.isEmpty() || steps.publishedMillis().isEmpty()) {
        print("failover_missing_" + failover.kind().key(), failover.database());
        continue;
      }
      long gap = first.get().endMillis() - lastDoneMillis(writesAndCommits, failover);
      gaps.recordValue(gap);
      long claimed = steps.claimedMillis().orElseThrow();
      long published = steps.publishedMillis().orElseThrow();
      detectionTimes.recordValue(Math.max(0, claimed - steps.startMillis()));
      agreementTimes.recordValue(Math.max(0, published - claimed));
      firstWriteTimes.recordValue(Math.max(0, first.get().endMillis() - published));
      print("failover_gap_" + failover.kind().key() + "_" + failover.database(), gap);
    }
    print("failovers", gaps.getTotalCount());
    print("failover_gap_p50_ms", gaps.getValueAtPercentile(50));
    print("failover_gap_max_ms", gaps.getMaxValue());
    print("failover_detection_p50_ms", detectionTimes.getValueAtPercentile(50));
    print("failover_agreement_p50_ms", agreementTimes.getValueAtPercentile(50));
    print("failover_first_done_p50_ms", firstWriteTimes.getValueAtPercentile(50));
  }

  /**
   * Prints how many attempts of writes and commits were acknowledged in the whole run, and how many
   * writes and transactions were lost or duplicated.
   */
  void printOutcome(History history, FinalState state) {
    long lost = 0;
    long duplicated = 0;
    for (Operation.Write write : history.writes()) {
      String database = write.attempts().get(0).database();
      long count = state.count(database, write.key(), write.value());
      lost += write.outcome() == Outcome.DONE && count == 0 ? 1 : 0;
      duplicated += count > 1 ? 1 : 0;
    }
    for (Operation.Transaction transaction : history.transactions()) {
      String database = transaction.statements().get(0).database();
      String value = transaction.value();
      long count = state.count(database, Keys.first(transaction.pair()), value);
      lost += transaction.outcome() == Outcome.DONE && count == 0 ? 1 : 0;
      duplicated += count > 1 ? 1 : 0;
    }
    long acknowledged = history.doneWritesAndCommits().count();
    print("acknowledged", acknowledged);
    print("lost", lost);
    print("doubled", duplicated);
  }

  private void printShares(
      String suffix, Map<Operation.Read, Boolean> reads, Predicate<Operation.Read> filter) {
    long total = reads.keySet().stream().filter(filter).count();
    long replica =
        reads.keySet().stream()
            .filter(filter)
            .filter(read -> read.attempt().answer().servedBy().role().equals(REPLICA))
            .count();
    long oracle =
        reads.entrySet().stream()
            .filter(entry -> filter.test(entry.getKey()) && entry.getValue())
            .count();
    print("reads" + suffix, total);
    print("replica_share" + suffix, share(replica, total));
    print("oracle_share" + suffix, share(oracle, total));
    print("replica_of_oracle" + suffix, share(replica, oracle));
    reads.keySet().stream()
        .filter(filter)
        .map(read -> read.attempt().answer().servedBy().reason())
        .collect(Collectors.groupingBy(reason -> reason, TreeMap::new, Collectors.counting()))
        .forEach((reason, count) -> print("reads" + suffix + "_" + reason, count));
  }

  private void printLatency(String name, List<Attempt> attempts, Predicate<Attempt> filter) {
    Histogram millis = histogram();
    attempts.stream()
        .filter(filter)
        .filter(Attempt::isDone)
        .forEach(attempt -> millis.recordValue(attempt.latencyMillis()));
    print(name + "_p50_ms", millis.getValueAtPercentile(50));
    print(name + "_p99_ms", millis.getValueAtPercentile(99));
    print(name + "_p999_ms", millis.getValueAtPercentile(99.9));
  }

  private static Optional<Attempt> firstDoneInLaterTerm(
      List<Attempt> writesAndCommits, MeasureCommand.Failover failover) {
    return writesAndCommits.stream()
        .filter(attempt -> attempt.database().equals(failover.database()))
        .filter(attempt -> term(attempt) > failover.term() && !attempt.answer().replay())
        .min(Comparator.comparingLong(Attempt::endMillis));
  }

  private static long lastDoneMillis(
      List<Attempt> writesAndCommits, MeasureCommand.Failover failover) {
    return writesAndCommits.stream()
        .filter(attempt -> attempt.database().equals(failover.database()))
        .filter(attempt -> term(attempt) == failover.term() && !attempt.answer().replay())
        .mapToLong(Attempt::endMillis)
        .max()
        .orElse(failover.steps().startMillis());
  }

  private static long term(Attempt attempt) {
    return attempt.answer().position().map(position -> position.term()).orElse(0L);
  }

  private static Histogram histogram() {
    return new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
  }

  private static double share(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }

  private void print(String key, long value) {
    out.println(key + "=" + value);
  }

  private void print(String key, double value) {
    out.println(key + "=" + "%.4f".formatted(value));
  }

  private void print(String key, String value) {
    out.println(key + "=" + value);
  }
}
