package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Clock;

/**
 * Samples the configuration generations of all proxies and controllers. Checks that no generation
 * decreases within one incarnation of a process, and that each write reaches every process within
 * 16 s, unless a fault can delay it.
 */
final class ConfigurationMonitor implements AutoCloseable {
  private static final long POLL_MILLIS = 500;
  private static final long MAX_PROPAGATION_MILLIS = 16_000;

  private final Deployment deployment;
  private final Clock clock;
  private final List<Write> writes = new ArrayList<>();
  private final List<Sample> samples = new ArrayList<>();
  private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor();

  /** A record that an operator wrote, with the version that the platform assigned. */
  private record Write(String record, long version, long atMillis) {}

  /** The generations that one process held at one time. */
  private record Sample(
      String process, int incarnation, long atMillis, Map<String, Long> generations) {
    private Incarnation incarnationId() {
      return new Incarnation(process, incarnation);
    }
  }

  /** One run of a process, from its start to its exit. */
  private record Incarnation(String process, int number) {}

  private ConfigurationMonitor(Deployment deployment, Clock clock) {
    this.deployment = deployment;
    this.clock = clock;
  }

  static ConfigurationMonitor start(Deployment deployment, Clock clock) {
    ConfigurationMonitor monitor = new ConfigurationMonitor(deployment, clock);
    var unused =
        monitor.poller.scheduleWithFixedDelay(
            monitor::sampleAll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
    return monitor;
  }

  synchronized void recordWrite(String record, long version, long atMillis) {
    writes.add(new Write(record, version, atMillis));
  }

  /** Returns whether every process holds the last written version of each record. */
  boolean isPropagated() {
    Map<String, Long> lastVersions = lastWritten();
    return processes().stream()
        .map(this::sample)
        .allMatch(
            sample ->
                sample.isPresent()
                    && lastVersions.entrySet().stream()
                        .allMatch(
                            entry -> generation(sample.get(), entry.getKey()) >= entry.getValue()));
  }

  /** Waits until every process holds the last written version of each record, at most 16 s. */
  void awaitPropagated() throws InterruptedException {
    long deadlineMillis = clock.millis() + MAX_PROPAGATION_MILLIS;
    while (!isPropagated() && clock.millis() < deadlineMillis) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    sampleAll();
  }

  synchronized CheckResult check(List<FaultEvent> faults) {
    CheckResult result = new CheckResult(Invariant.CONFIGURATION_NEVER_REVERTS);
    Map<String, Sample> latest = new HashMap<>();
    for (Sample sample : samples) {
      Sample earlier = latest.put(sample.process(), sample);
      if (earlier != null && earlier.incarnation() == sample.incarnation()) {
        checkNotReverted(result, earlier, sample);
      }
    }
    latest.values().forEach(sample -> checkFinal(result, sample));
    Map<Incarnation, Long> firstSeen = new HashMap<>();
    for (Sample sample : samples) {
      long sinceMillis =
          firstSeen.computeIfAbsent(sample.incarnationId(), unused -> sample.atMillis());
      if (!isStarting(sample.generations(), sample.atMillis() - sinceMillis)) {
        checkPropagation(result, sample, faults);
      }
    }
    return result;
  }

  /**
   * Returns whether a process has just started and has no configuration yet, in which state it
   * accepts no requests. A process that holds part of the configuration does not count as starting,
   * nor does one that still has none after 16 s, the time limit for a change.
   */
  static boolean isStarting(Map<String, Long> generations, long runningMillis) {
    return generations.isEmpty() && runningMillis < MAX_PROPAGATION_MILLIS;
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }

  private static void checkNotReverted(CheckResult result, Sample earlier, Sample later) {
    earlier
        .generations()
        .forEach(
            (record, generation) ->
                result.check(
                    generation(later, record) >= generation,
                    "%s went from generation %d of %s to %d"
                        .formatted(
                            later.process(), generation, record, generation(later, record))));
  }

  private void checkFinal(CheckResult result, Sample sample) {
    lastWritten()
        .forEach(
            (record, version) ->
                result.check(
                    generation(sample, record) >= version,
                    "%s has generation %d of %s at the end; %d was accepted"
                        .formatted(sample.process(), generation(sample, record), record, version)));
  }

  private void checkPropagation(CheckResult result, Sample sample, List<FaultEvent> faults) {
    for (Write write : writes) {
      long propagationDeadlineMillis = write.atMillis() + MAX_PROPAGATION_MILLIS;
      boolean mayBeDelayed =
          faults.stream()
              .anyMatch(
                  fault -> delaysPropagation(fault, write.atMillis(), propagationDeadlineMillis));
      if (sample.atMillis() > propagationDeadlineMillis && !mayBeDelayed) {
        result.check(
            generation(sample, write.record()) >= write.version(),
            "%s had generation %d of %s, %d ms after %d was written"
                .formatted(
                    sample.process(),
                    generation(sample, write.record()),
                    write.record(),
                    sample.atMillis() - write.atMillis(),
                    write.version()));
      }
    }
  }

  /**
   * Returns whether a fault can delay propagation in an interval: an unavailable platform delays
   * acceptance of a write, and an unreachable process receives the change later. Operator races and
   * faults of endpoints cannot delay it.
   */
  private static boolean delaysPropagation(FaultEvent fault, long fromMillis, long toMillis) {
    boolean targetIsEndpoint = !fault.database().isEmpty();
    return fault.kind() != FaultKind.RACING_OPERATORS
        && !targetIsEndpoint
        && fault.overlaps(fromMillis, toMillis);
  }

  private synchronized Map<String, Long> lastWritten() {
    Map<String, Long> lastVersions = new HashMap<>();
    writes.forEach(write -> lastVersions.merge(write.record(), write.version(), Math::max));
    return lastVersions;
  }

  private void sampleAll() {
    for (Node process : processes()) {
      Optional<Sample> sample = sample(process);
      synchronized (this) {
        sample.ifPresent(samples::add);
      }
    }
  }

  private List<Node> processes() {
    return deployment.topology().nodes().stream()
        .filter(node -> node.kind() == ProcessKind.PROXY || node.kind() == ProcessKind.CONTROLLER)
        .toList();
  }

  private Optional<Sample> sample(Node node) {
    int incarnation = deployment.process(node.name()).incarnation();
    Optional<JsonNode> dump = deployment.controls().dump(node);
    boolean sameIncarnation = deployment.process(node.name()).incarnation() == incarnation;
    if (dump.isEmpty() || !sameIncarnation) {
      return Optional.empty();
    }
    Map<String, Long> generations = new HashMap<>();
    Iterator<Map.Entry<String, JsonNode>> fields = dump.get().path("generations").fields();
    fields.forEachRemaining(field -> generations.put(field.getKey(), field.getValue().asLong()));
    return Optional.of(
        new Sample(node.name(), incarnation, clock.millis(), Map.copyOf(generations)));
  }

  private static long generation(Sample sample, String record) {
    return sample.generations().getOrDefault(record, 0L);
  }
}
