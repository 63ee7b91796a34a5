package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sardinebay.Clock;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.standins.platform.FreePorts;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running deployment of real processes on this machine; all connections between them pass through
 * the relay.
 *
 * <pre>{@code
 * try (Deployment deployment = Deployment.start(spec, folder, "majority", JvmMode.FAST_START)) {
 *   deployment.process("contracts-1-a").kill();
 * }
 * }</pre>
 *
 * <p>All processes are killed by {@link #close()}, and when this JVM exits.
 */
final class Deployment implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Deployment.class);
  private static final int MAX_START_ATTEMPTS = 3;
  private static final long START_TIMEOUT_MILLIS = 40_000;
  private static final long POLL_MILLIS = 50;
  private static final String PUBLISHED = "published";

  private final DeploymentSpec spec;
  private final Topology topology;
  private final Path folder;
  private final JsonHttpClient http;
  private final ControlClient controls;
  private final SettingsWriter settings;
  private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
  private final Thread shutdownHook = new Thread(this::killAll, "kill-children");

  private Deployment(DeploymentSpec spec, Topology topology, Path folder) {
    this.spec = spec;
    this.topology = topology;
    this.folder = folder;
    this.http = JsonHttpClient.start("controls", 1);
    this.controls = new ControlClient(topology, http);
    this.settings = new SettingsWriter(spec, topology, folder);
  }

  /**
   * Starts all processes, writes the configuration records and waits until every database has a
   * primary and every proxy is ready. If a process exits during the start, tries again with other
   * ports, in at most 3 attempts.
   *
   * @throws IOException if a process or database takes more than 40 s to become ready, the platform
   *     refuses a record, or a process exits in the last attempt
   */
  static Deployment start(DeploymentSpec spec, Path folder, String acknowledgement, JvmMode mode)
      throws IOException {
    for (int attempt = 1; ; attempt++) {
      Path attemptFolder = folder.resolve("attempt-" + attempt);
      Files.createDirectories(attemptFolder);
      Topology topology = Topology.allocate(spec, FreePorts::next);
      Deployment deployment = new Deployment(spec, topology, attemptFolder);
      try {
        deployment.startAll(acknowledgement, mode);
        return deployment;
      } catch (ProcessExitedException e) {
        deployment.close();
        LOG.atWarn().setMessage("start_failed").addKeyValue("cause", e.getMessage()).log();
        if (attempt == MAX_START_ATTEMPTS) {
          throw e;
        }
      } catch (IOException | RuntimeException e) {
        deployment.close();
        throw e;
      }
    }
  }

  DeploymentSpec spec() {
    return spec;
  }

  Topology topology() {
    return topology;
  }

  ControlClient controls() {
    return controls;
  }

  Path folder() {
    return folder;
  }

  ManagedProcess process(String name) {
    return processes.get(name);
  }

  Collection<ManagedProcess> processes() {
    return processes.values();
  }

  /** Returns the primary that the platform has published for a database. */
  Optional<String> primary(String database) {
    return controls
        .readObject("promotions", database)
        .map(promotion -> promotion.path("body"))
        .filter(body -> body.path("step").asText().equals(PUBLISHED))
        .map(body -> body.path("primary").asText());
  }

  /**
   * Waits until every database has a published primary and every proxy is ready.
   *
   * @throws IOException if one of them takes longer than the timeout, or a process has exited
   */
  void awaitServing(long timeoutMillis) throws IOException {
    for (DeploymentSpec.Database database : spec.databases()) {
      await(
          "primary of " + database.id(),
          processes.values(),
          timeoutMillis,
          () -> primary(database.id()).isPresent());
    }
    for (Node proxy : topology.nodes(ProcessKind.PROXY)) {
      await(
          "proxy " + proxy.name(),
          processes.values(),
          timeoutMillis,
          () -> controls.isReady(proxy));
    }
  }

  void awaitHealthy(Node node, long timeoutMillis) throws IOException {
    await(
        "health of " + node.name(),
        List.of(process(node.name())),
        timeoutMillis,
        () -> controls.isHealthy(node));
  }

  @Override
  public void close() {
    killAll();
    http.stop();
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      LOG.atDebug().setMessage("closed_by_shutdown").log();
    }
  }

  private void startAll(String acknowledgement, JvmMode mode) throws IOException {
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    for (Node node : topology.nodes()) {
      processes.put(node.name(), ManagedProcess.forNode(node, settings.write(node), folder, mode));
    }
    startNodes(ProcessKind.RELAY, ProcessKind.PLATFORM, ProcessKind.ENDPOINT);
    writeRecords(acknowledgement);
    startNodes(ProcessKind.CONTROLLER, ProcessKind.PROXY);
    awaitServing(START_TIMEOUT_MILLIS);
  }

  private void startNodes(ProcessKind... kinds) throws IOException {
    List<Node> started = new ArrayList<>();
    for (ProcessKind kind : kinds) {
      for (Node node : topology.nodes(kind)) {
        process(node.name()).start();
        started.add(node);
      }
    }
    for (Node node : started) {
      awaitHealthy(node, START_TIMEOUT_MILLIS);
    }
  }

  private void writeRecords(String acknowledgement) throws IOException {
    for (DeploymentSpec.Database database : spec.databases()) {
      create("databases", database.id(), settings.databaseRecord(database, acknowledgement));
    }
    for (Node proxy : topology.nodes(ProcessKind.PROXY)) {
      create("proxies", proxy.name(), settings.proxyRecord(proxy));
    }
    for (DeploymentSpec.NamedSpec staleness : spec.staleness()) {
      create("staleness", staleness.name(), staleness.spec());
    }
  }

  private void create(String kind, String name, ObjectNode body) throws IOException {
    if (controls.put(kind, name, 0, body).isEmpty()) {
      throw new IOException("the platform refused record " + kind + "/" + name);
    }
  }

  private void await(
      String description,
      Collection<ManagedProcess> requiredProcesses,
      long timeoutMillis,
      BooleanSupplier condition)
      throws IOException {
    Clock clock = Clock.system();
    long deadlineMillis = clock.millis() + timeoutMillis;
    while (!condition.getAsBoolean()) {
      checkAlive(requiredProcesses);
      if (clock.millis() > deadlineMillis) {
        throw new IOException(description + " did not come up within " + timeoutMillis + " ms");
      }
      pause();
    }
  }

  private void checkAlive(Collection<ManagedProcess> requiredProcesses) throws IOException {
    for (ManagedProcess process : requiredProcesses) {
      if (process.incarnation() > 0 && !process.isAlive()) {
        throw new ProcessExitedException(process.name(), folder);
      }
    }
  }

  private void killAll() {
    processes.values().forEach(ManagedProcess::kill);
  }

  private static void pause() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
