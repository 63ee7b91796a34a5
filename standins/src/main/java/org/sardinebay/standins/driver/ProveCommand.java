package org.sardinebay.standins.driver;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sardinebay.Clock;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.record.FieldReader;

/** Runs callers and faults against real processes and checks the invariants. */
final class ProveCommand implements Command {
  private static final long SERVING_TIMEOUT_MILLIS = 30_000;
  private static final long FAULT_FREE_MILLIS = 3_000;
  private static final int MIN_DONE_PER_SECOND = 20;
  private static final int MAX_VIOLATIONS_SHOWN = 5;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final String VIOLATION_EVENT = "event=invariant_violated";

  private final Clock clock = Clock.system();

  /** The results of one run. */
  private record Run(
      History history,
      FinalState state,
      List<FaultEvent> faults,
      CheckResult configuration,
      long trafficEndMillis,
      List<String> processFailures) {}

  @Override
  public String summary() {
    return "runs random callers and faults from a seed, then checks the invariants";
  }

  @Override
  public int run(Options options, PrintStream out) throws IOException, InterruptedException {
    DeploymentSpec spec = DeploymentSpec.load(options.deploymentFile());
    Path folder = options.runFolder();
    out.printf(
        "deployment=%s seed=%d seconds=%d callers=%d folder=%s%n",
        spec.name(), options.seed(), options.seconds(), options.callers(), folder);
    Run run;
    try (Deployment deployment =
        Deployment.start(spec, folder, options.policy(), JvmMode.FAST_START)) {
      run = run(deployment, options);
    }
    return report(spec, run, options, out);
  }

  private Run run(Deployment deployment, Options options) throws IOException, InterruptedException {
    List<Fault> schedule =
        new FaultSchedule(deployment.spec(), new Random(options.seed()))
            .draw((long) options.seconds() * MILLIS_PER_SECOND);
    try (ConfigurationMonitor monitor = ConfigurationMonitor.start(deployment, clock);
        Traffic traffic =
            Traffic.start(deployment, Workload.PROOF, options.callers(), options.seed(), clock);
        FinalStateReader reader = new FinalStateReader(deployment)) {
      OperatorRace race = new OperatorRace(deployment.controls(), monitor, clock);
      FaultInjector injector =
          new FaultInjector(
              deployment, race, traffic.openTransactions(), clock, new Random(options.seed()));
      List<FaultEvent> faults = injector.run(schedule);
      List<String> processFailures = restartExited(deployment);
      processFailures.addAll(injector.failures());
      deployment.awaitServing(SERVING_TIMEOUT_MILLIS);
      TimeUnit.MILLISECONDS.sleep(FAULT_FREE_MILLIS);
      traffic.stop();
      long trafficEndMillis = clock.millis();
      monitor.awaitPropagated();
      FinalState state = reader.read(traffic.history());
      processFailures.addAll(loggedViolations(deployment.folder()));
      return new Run(
          traffic.history(),
          state,
          faults,
          monitor.check(faults),
          trafficEndMillis,
          List.copyOf(processFailures));
    }
  }

  private static int report(DeploymentSpec spec, Run run, Options options, PrintStream out) {
    run.faults().stream()
        .collect(Collectors.groupingBy(FaultEvent::kind, TreeMap::new, Collectors.counting()))
        .forEach((kind, count) -> out.printf("fault=%s injected=%d%n", kind.key(), count));
    long done = reportOutcomes(run.history(), out);
    List<CheckResult> results = results(spec, run, options);
    int failed = 0;
    for (CheckResult result : results) {
      out.println(result);
      result.violations().stream()
          .limit(MAX_VIOLATIONS_SHOWN)
          .forEach(violation -> out.println("  violation: " + violation));
      failed += result.passed() ? 0 : 1;
    }
    run.processFailures().forEach(failure -> out.println("process_failure=" + failure));
    boolean enoughDone = done >= (long) MIN_DONE_PER_SECOND * options.seconds();
    if (!enoughDone) {
      out.printf("too few requests were done to mean anything: %d%n", done);
    }
    int passed = results.size() - failed;
    failed += enoughDone && run.processFailures().isEmpty() ? 0 : 1;
    out.printf("%d passed, %d failed%n", passed, failed);
    return failed == 0 ? ProgramRunner.EXIT_OK : ProgramRunner.EXIT_FAILURE;
  }

  private static List<CheckResult> results(DeploymentSpec spec, Run run, Options options) {
    List<CheckResult> results = new ArrayList<>(HistoryChecker.check(run.history(), run.state()));
    results.add(EndpointDrainCheck.check(run.history(), run.faults()));
    results.add(GracefulShutdownCheck.check(run.history(), run.faults()));
    results.add(run.configuration());
    results.add(
        new AvailabilityCheck(run.history(), run.faults()).check(spec, run.trafficEndMillis()));
    return results.stream()
        .filter(
            result ->
                options.only().isEmpty() || options.only().get().equals(result.invariant().key()))
        .sorted(Comparator.comparing(CheckResult::invariant))
        .toList();
  }

  private static long reportOutcomes(History history, PrintStream out) {
    Map<Outcome, Long> counts =
        history
            .attempts()
            .collect(Collectors.groupingBy(Attempt::outcome, TreeMap::new, Collectors.counting()));
    long total = counts.values().stream().mapToLong(Long::longValue).sum();
    counts.forEach(
        (outcome, count) ->
            out.printf(
                "outcome=%s share=%.4f count=%d%n",
                FieldReader.jsonName(outcome), (double) count / total, count));
    history
        .attempts()
        .map(attempt -> attempt.answer().code())
        .filter(code -> !code.isEmpty())
        .collect(Collectors.groupingBy(code -> code, TreeMap::new, Collectors.counting()))
        .forEach((code, count) -> out.printf("code=%s count=%d%n", code, count));
    return counts.getOrDefault(Outcome.DONE, 0L);
  }

  /** Restarts processes that exited unexpectedly and returns a description of each. */
  private static List<String> restartExited(Deployment deployment) throws IOException {
    List<String> exited = new ArrayList<>();
    for (ManagedProcess process : deployment.processes()) {
      if (!process.isAlive()) {
        exited.add("exit of " + process.name());
        process.start();
      }
    }
    return exited;
  }

  private static List<String> loggedViolations(Path folder) throws IOException {
    List<String> violations = new ArrayList<>();
    try (var files = Files.list(folder)) {
      for (Path log : files.filter(file -> file.toString().endsWith(".log")).toList()) {
        String text = Files.readString(log, StandardCharsets.UTF_8);
        text.lines()
            .filter(line -> line.contains(VIOLATION_EVENT))
            .forEach(line -> violations.add(log.getFileName() + " " + line));
      }
    }
    return violations;
  }
}
