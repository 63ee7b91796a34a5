package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sardinebay.Clock;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.relay.Cut;
import org.sardinebay.standins.relay.LinkSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Injects the faults of a schedule, each on a thread of its own, and heals each fault when its
 * duration is over.
 */
final class FaultInjector {
  private static final Logger LOG = LoggerFactory.getLogger(FaultInjector.class);
  private static final List<String> ANY = List.of("*");
  private static final long HEALTH_TIMEOUT_MILLIS = 20_000;
  private static final long EXIT_TIMEOUT_SECONDS = 30;

  private final Deployment deployment;
  private final ControlClient controls;
  private final OperatorRace race;
  private final OpenTransactions openTransactions;
  private final PlatformFlood flood;
  private final Clock clock;
  private final Random random;
  private final List<FaultEvent> events = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();

  FaultInjector(
      Deployment deployment,
      OperatorRace race,
      OpenTransactions openTransactions,
      Clock clock,
      Random random) {
    this.deployment = deployment;
    this.openTransactions = openTransactions;
    this.controls = deployment.controls();
    this.race = race;
    this.flood = new PlatformFlood(controls);
    this.clock = clock;
    this.random = random;
  }

  /** Runs the whole schedule and returns when all faults have been healed. */
  List<FaultEvent> run(List<Fault> faults) throws InterruptedException {
    long startMillis = clock.millis();
    List<Thread> threads = new ArrayList<>();
    for (Fault fault : faults) {
      Thread thread = new Thread(() -> inject(fault, startMillis), "fault-" + fault.kind());
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    healNetwork();
    synchronized (events) {
      return events.stream().sorted(Comparator.comparingLong(FaultEvent::startMillis)).toList();
    }
  }

  /**
   * Returns a description of each process that received SIGTERM and was still running 30 s after
   * the fault's duration was over.
   */
  List<String> failures() {
    synchronized (events) {
      return List.copyOf(failures);
    }
  }

  private void inject(Fault fault, long scheduleStartMillis) {
    sleep(scheduleStartMillis + fault.atMillis() - clock.millis());
    String target = resolve(fault.target());
    String other = resolve(fault.other());
    String database = databaseOf(target);
    Set<String> affectedDatabases =
        databasesWithPrimaryIn(
            fault.kind() == FaultKind.CUT_DOMAIN ? processesIn(target) : List.of(target));
    List<OpenTransactions.HeldTransaction> heldTransactions =
        fault.kind() == FaultKind.TERMINATE ? openTransactions.open(target) : List.of();
    long startMillis = clock.millis();
    log("fault_started", fault, target);
    try {
      start(fault, target, other);
      openTransactions.complete(target, heldTransactions);
      sleep(fault.durationMillis());
      heal(fault, target, other);
    } catch (IOException e) {
      LOG.atError().setMessage("fault_failed").addKeyValue("kind", fault.kind()).setCause(e).log();
    }
    log("fault_ended", fault, target);
    FaultEvent event =
        new FaultEvent(fault, target, affectedDatabases, database, startMillis, clock.millis());
    synchronized (events) {
      events.add(event);
    }
  }

  private void start(Fault fault, String target, String other) {
    switch (fault.kind()) {
      case KILL -> deployment.process(target).kill();
      case FREEZE -> deployment.process(target).suspend();
      case TERMINATE -> deployment.process(target).terminate();
      case CUT_PROCESS -> cut(List.of(target), ANY, Cut.BOTH);
      case CUT_ONE_WAY -> cutOutgoing(target);
      case CUT_PAIR -> cut(List.of(target), List.of(other), Cut.BOTH);
      case CUT_DOMAIN -> cut(processesIn(target), processesOutside(target), Cut.BOTH);
      case SLOW_LINKS ->
          controls.changeLinks(ANY, List.of(target), Cut.NONE, OptionalLong.of(fault.amount()));
      case LOSE_REPLIES -> endpointFault(target, "loseReplies", fault.amount());
      case CROSS_REPLIES -> endpointFault(target, "crossReplies", fault.amount());
      case REPLICA_LAG -> setReplicaLag(target, fault.amount(), fault.amount());
      case FREEZE_APPLY -> endpointFlag(target, "freezeApply", true);
      case LEAVING_ENDPOINT -> endpointFlag(target, "leaving", true);
      case PLATFORM_OUTAGE -> controls.setPlatformFaults(platformFault(true, 0, 0));
      case PLATFORM_SLOW -> controls.setPlatformFaults(platformFault(false, fault.amount(), 0));
      case PLATFORM_LOSES_ANSWERS ->
          controls.setPlatformFaults(platformFault(false, 0, fault.amount()));
      case PLATFORM_FLOOD -> flood.run(fault.durationMillis());
      case RACING_OPERATORS -> race.run(target);
    }
  }

  private void heal(Fault fault, String target, String other) throws IOException {
    switch (fault.kind()) {
      case KILL -> restart(target);
      case FREEZE -> deployment.process(target).resume();
      case TERMINATE -> {
        if (!deployment.process(target).awaitExit(EXIT_TIMEOUT_SECONDS)) {
          synchronized (events) {
            failures.add(target + " did not exit after SIGTERM");
          }
          deployment.process(target).kill();
        }
        restart(target);
      }
      case CUT_PROCESS, CUT_ONE_WAY -> cut(List.of(target), ANY, Cut.NONE);
      case CUT_PAIR -> cut(List.of(target), List.of(other), Cut.NONE);
      case CUT_DOMAIN -> cut(processesIn(target), processesOutside(target), Cut.NONE);
      case SLOW_LINKS -> restoreDelays(target);
      case LOSE_REPLIES -> endpointFault(target, "loseReplies", 0);
      case CROSS_REPLIES -> endpointFault(target, "crossReplies", 0);
      case REPLICA_LAG -> setReplicaLag(target, SettingsWriter.APPLY_LAG_MILLIS, 0);
      case FREEZE_APPLY -> endpointFlag(target, "freezeApply", false);
      case LEAVING_ENDPOINT -> endpointFlag(target, "leaving", false);
      case PLATFORM_OUTAGE, PLATFORM_SLOW, PLATFORM_LOSES_ANSWERS ->
          controls.setPlatformFaults(platformFault(false, 0, 0));
      case PLATFORM_FLOOD, RACING_OPERATORS -> {
        // Both end on their own.
      }
    }
  }

  private void restart(String target) throws IOException {
    deployment.process(target).start();
    deployment.awaitHealthy(deployment.topology().node(target), HEALTH_TIMEOUT_MILLIS);
  }

  /**
   * Cuts or restores the links between two groups of processes; the callers' links are not changed.
   */
  private void cut(List<String> names, List<String> others, Cut cut) {
    List<String> processes = others.equals(ANY) ? processesExcept(names) : others;
    controls.changeLinks(names, processes, cut, OptionalLong.empty());
    controls.changeLinks(processes, names, cut, OptionalLong.empty());
  }

  private void cutOutgoing(String target) {
    List<String> others = processesExcept(List.of(target));
    controls.changeLinks(List.of(target), others, Cut.TO_TARGET, OptionalLong.empty());
    controls.changeLinks(others, List.of(target), Cut.TO_SOURCE, OptionalLong.empty());
  }

  private void restoreDelays(String target) {
    for (LinkSettings link : deployment.topology().links()) {
      if (link.target().equals(target)) {
        controls.changeLinks(
            List.of(link.source()), List.of(target), Cut.NONE, OptionalLong.of(link.delayMillis()));
      }
    }
  }

  private void healNetwork() {
    controls.changeLinks(ANY, ANY, Cut.NONE, OptionalLong.empty());
  }

  private void setReplicaLag(String member, long applyLagMillis, long receiveLagMillis) {
    controls.setEndpointFaults(
        member,
        Json.newObject()
            .put("applyLagMillis", applyLagMillis)
            .put("receiveLagMillis", receiveLagMillis));
  }

  private void endpointFault(String member, String field, long amount) {
    controls.setEndpointFaults(member, Json.newObject().put(field, amount));
  }

  private void endpointFlag(String member, String field, boolean value) {
    controls.setEndpointFaults(member, Json.newObject().put(field, value));
  }

  private static ObjectNode platformFault(boolean outage, long delayMillis, long loseAnswers) {
    return Json.newObject()
        .put("outage", outage)
        .put("delayMillis", delayMillis)
        .put("loseAnswers", loseAnswers);
  }

  private List<String> processesIn(String domain) {
    return deployment.topology().nodes().stream()
        .filter(node -> node.domain().equals(domain))
        .map(Node::name)
        .toList();
  }

  private List<String> processesOutside(String domain) {
    return processesExcept(processesIn(domain));
  }

  private List<String> processesExcept(List<String> names) {
    return deployment.topology().nodes().stream()
        .filter(node -> node.kind() != ProcessKind.RELAY)
        .map(Node::name)
        .filter(name -> !names.contains(name))
        .toList();
  }

  private String resolve(String target) {
    if (target.startsWith(Fault.PRIMARY_OF)) {
      String database = target.substring(Fault.PRIMARY_OF.length());
      return deployment.primary(database).orElseGet(() -> members(database).get(0));
    }
    if (target.startsWith(Fault.REPLICA_OF)) {
      String database = target.substring(Fault.REPLICA_OF.length());
      List<String> replicas =
          members(database).stream().filter(member -> !isPrimary(database, member)).toList();
      synchronized (random) {
        return replicas.get(random.nextInt(replicas.size()));
      }
    }
    return target;
  }

  private Set<String> databasesWithPrimaryIn(List<String> names) {
    return deployment.spec().databases().stream()
        .map(DeploymentSpec.Database::id)
        .filter(database -> deployment.primary(database).filter(names::contains).isPresent())
        .collect(Collectors.toSet());
  }

  private boolean isPrimary(String database, String member) {
    return deployment.primary(database).filter(member::equals).isPresent();
  }

  private List<String> members(String database) {
    return deployment.topology().nodes(ProcessKind.ENDPOINT).stream()
        .filter(node -> node.group().equals(database))
        .map(Node::name)
        .toList();
  }

  private String databaseOf(String target) {
    return deployment.topology().nodes(ProcessKind.ENDPOINT).stream()
        .filter(node -> node.name().equals(target))
        .map(Node::group)
        .findFirst()
        .orElse("");
  }

  private static void log(String event, Fault fault, String target) {
    LOG.atInfo()
        .setMessage(event)
        .addKeyValue("kind", fault.kind().key())
        .addKeyValue("target", target)
        .addKeyValue("planned", fault.target())
        .log();
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
