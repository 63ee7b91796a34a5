package org.sardinebay.standins.driver;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Clock;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.net.http.Json;

/** Measures a deployment: first under load with lagging replicas, then during failovers. */
final class MeasureCommand implements Command {
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long FAILOVER_MILLIS = 4_000;
  private static final long RECOVERY_MILLIS = 3_500;
  private static final long SERVING_TIMEOUT_MILLIS = 30_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final List<FaultKind> FAILOVERS =
      List.of(FaultKind.KILL, FaultKind.FREEZE, FaultKind.CUT_PROCESS);

  /** The apply lags of the replicas, in order; any further replica applies nothing. */
  private static final long[] LAGS_MILLIS = {5, 50, 200, 500, 2_000};

  private final Clock clock = Clock.system();

  @Override
  public String summary() {
    return "prints replica share, failover gap, goodput and latencies, one key per line";
  }

  @Override
  public int run(Options options, PrintStream out) throws IOException, InterruptedException {
    DeploymentSpec spec = DeploymentSpec.load(options.deploymentFile());
    out.printf("deployment=%s%n", spec.name());
    out.printf("policy=%s%n", options.policy());
    out.printf("seed=%d%n", options.seed());
    out.printf("seconds=%d%n", options.seconds());
    out.printf("callers=%d%n", options.callers());
    try (Deployment deployment =
            Deployment.start(spec, options.runFolder(), options.policy(), JvmMode.FULL);
        FinalStateReader reader = new FinalStateReader(deployment)) {
      Map<String, String> primaries = primaries(deployment);
      setLags(deployment, primaries);
      measure(deployment, options, primaries, reader, new MeasurementReport(out));
    }
    return ProgramRunner.EXIT_OK;
  }

  private void measure(
      Deployment deployment,
      Options options,
      Map<String, String> primaries,
      FinalStateReader reader,
      MeasurementReport report)
      throws IOException, InterruptedException {
    String directMember = primaries.values().iterator().next();
    try (PositionSampler positions = PositionSampler.start(deployment.topology(), clock);
        DirectCaller directCaller =
            new DirectCaller(
                deployment
                    .topology()
                    .translate(
                        Topology.CALLERS, deployment.topology().node(directMember).listen()));
        Traffic traffic =
            Traffic.start(
                deployment, Workload.MEASUREMENT, options.callers(), options.seed(), clock)) {
      Thread directThread = new Thread(directCaller, "direct-caller");
      directThread.setDaemon(true);
      directThread.start();
      TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
      long fromMillis = clock.millis();
      TimeUnit.MILLISECONDS.sleep(options.seconds() * MILLIS_PER_SECOND);
      long toMillis = clock.millis();
      directCaller.close();
      report.printLoad(
          traffic.history(),
          new OracleRouter(deployment.topology(), positions),
          primaries,
          fromMillis,
          toMillis);
      report.printDirectReads(directCaller.latencyMicros());
      clearLags(deployment);
      List<Failover> failovers = runFailovers(deployment, traffic, options);
      deployment.awaitServing(SERVING_TIMEOUT_MILLIS);
      traffic.stop();
      report.printFailovers(traffic.history(), failovers);
      report.printOutcome(traffic.history(), reader.read(traffic.history()));
    }
  }

  /**
   * A failover that the measurement caused.
   *
   * @param database the database
   * @param kind the fault that was injected into the primary
   * @param term the term before the failover
   * @param steps the times at which the promotion reached its steps
   */
  record Failover(String database, FaultKind kind, long term, FailoverTimer.Steps steps) {}

  private List<Failover> runFailovers(Deployment deployment, Traffic traffic, Options options)
      throws IOException, InterruptedException {
    ConfigurationMonitor monitor = ConfigurationMonitor.start(deployment, clock);
    OperatorRace race = new OperatorRace(deployment.controls(), monitor, clock);
    monitor.close();
    FaultInjector injector =
        new FaultInjector(
            deployment, race, traffic.openTransactions(), clock, new Random(options.seed()));
    FailoverTimer timer = new FailoverTimer(deployment.controls(), clock);
    List<Failover> failovers = new ArrayList<>();
    for (FaultKind kind : FAILOVERS) {
      for (DeploymentSpec.Database database : deployment.spec().databases()) {
        long term = timer.term(database.id());
        String target = Fault.PRIMARY_OF + database.id();
        Fault fault = new Fault(kind, target, "", 0, FAILOVER_MILLIS, 0);
        Thread injection = new Thread(() -> inject(injector, fault), "failover");
        long startMillis = clock.millis();
        injection.start();
        FailoverTimer.Steps steps =
            timer.awaitPromotion(database.id(), term, startMillis, FAILOVER_MILLIS);
        injection.join();
        failovers.add(new Failover(database.id(), kind, term, steps));
        TimeUnit.MILLISECONDS.sleep(RECOVERY_MILLIS);
      }
    }
    return failovers;
  }

  private static void inject(FaultInjector injector, Fault fault) {
    try {
      injector.run(List.of(fault));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> primaries(Deployment deployment) throws IOException {
    Map<String, String> primaries = new HashMap<>();
    for (DeploymentSpec.Database database : deployment.spec().databases()) {
      primaries.put(
          database.id(),
          deployment
              .primary(database.id())
              .orElseThrow(() -> new IOException(database.id() + " has no primary")));
    }
    return primaries;
  }

  private static void setLags(Deployment deployment, Map<String, String> primaries) {
    int replicaIndex = 0;
    for (Node member : deployment.topology().nodes(ProcessKind.ENDPOINT)) {
      if (primaries.containsValue(member.name())) {
        continue;
      }
      if (replicaIndex < LAGS_MILLIS.length) {
        deployment
            .controls()
            .setEndpointFaults(
                member.name(), Json.newObject().put("applyLagMillis", LAGS_MILLIS[replicaIndex]));
      } else {
        deployment
            .controls()
            .setEndpointFaults(member.name(), Json.newObject().put("freezeApply", true));
      }
      replicaIndex++;
    }
  }

  private static void clearLags(Deployment deployment) {
    for (Node member : deployment.topology().nodes(ProcessKind.ENDPOINT)) {
      deployment
          .controls()
          .setEndpointFaults(
              member.name(),
              Json.newObject()
                  .put("applyLagMillis", SettingsWriter.APPLY_LAG_MILLIS)
                  .put("freezeApply", false));
    }
  }
}
