package org.sardinebay.standins.impeller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.impeller.PlatformKeys;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Runs two gateway processes against the platform stand-in, with callers, a primary change and a
 * shutdown, so that the JVM of the first records the classes that a gateway loads in operation. The
 * second one is there for the calls between hosts.
 *
 * <pre>{@code
 * java -cp ... org.sardinebay.standins.impeller.TrainingRun target/sardinebay-gateway.jar out.list
 * }</pre>
 */
public final class TrainingRun {
  private static final long START_TIMEOUT_MILLIS = 20_000;
  private static final long PRIMARY_CHANGE_TIMEOUT_MILLIS = 12_000;
  private static final long RETRY_MILLIS = 100;
  private static final int TRAFFIC_ROUNDS = 20;
  private static final int SHUTDOWN_SECONDS = 3;

  /** As in the deploy file; they decide which classes are loaded at a start. */
  private static final List<String> LIBRARY_OPTIONS =
      List.of(
          "-Dslf4j.provider=org.sardinebay.gateway.internal.process.GatewayLoggingProvider",
          "-Dio.netty.jfr.enabled=false",
          "-Dio.netty.osClassifiers=",
          "-Dio.netty.allocator.type=unpooled",
          "-Dio.netty.leakDetection.level=disabled");

  private final Address callers = FreePorts.next();
  private final Address readiness = FreePorts.next();
  private final Address peers = FreePorts.next();
  private final Address otherPeers = FreePorts.next();
  private final LineProtocolPlatform platform;

  private TrainingRun(LineProtocolPlatform platform) {
    this.platform = platform;
  }

  /**
   * Runs the gateway and writes the list of loaded classes.
   *
   * @param args the gateway's jar, and the file for the list of classes
   * @throws IOException if the process or a socket can't be created, or no write succeeds in time
   * @throws InterruptedException if the run is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    try (LineProtocolPlatform platform =
        LineProtocolPlatform.start(FreePorts::next, Clock.system())) {
      new TrainingRun(platform).run(args[0], args[1]);
    }
    // The threads of the stand-ins never end by themselves.
    System.exit(0);
  }

  private void run(String jar, String classList) throws IOException, InterruptedException {
    List<String> recording =
        List.of("-Xshare:off", "-XX:+UseSerialGC", "-XX:DumpLoadedClassList=" + classList);
    Address otherCallers = FreePorts.next();
    Process other =
        start(jar, List.of(), settings("host-2", otherCallers, otherPeers, peers), "host-2.log");
    try {
      // The first gateway must find a peer that answers, or it records no calls between hosts.
      awaitWrite(otherCallers, START_TIMEOUT_MILLIS);
      ObjectNode settings = settings("host-1", callers, peers, otherPeers);
      settings.put("readiness", readiness.toString());
      record(start(jar, recording, settings, "host-1.log"));
    } finally {
      stop(other);
    }
  }

  private void record(Process gateway) throws IOException, InterruptedException {
    try {
      awaitWrite(callers, START_TIMEOUT_MILLIS);
      runTraffic();
      askReadiness();
      platform.configureWorkspaces(PlatformWorkspace.of("training", LineCaller.DEFAULT_KEY));
      runTraffic();
      platform.member(0).crash();
      awaitWrite(callers, PRIMARY_CHANGE_TIMEOUT_MILLIS);
      runTraffic();
    } finally {
      stop(gateway);
    }
  }

  private static Process start(
      String jar, List<String> options, ObjectNode settings, String logFile) throws IOException {
    Path file = Files.createTempFile("gateway", ".json");
    file.toFile().deleteOnExit();
    Files.writeString(file, settings.toString());
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.addAll(LIBRARY_OPTIONS);
    command.addAll(List.of("-jar", jar));
    command.addAll(List.of("--settings", file.toString()));
    File log = new File(new File(jar).getAbsoluteFile().getParentFile(), logFile);
    return new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start();
  }

  private static void stop(Process gateway) throws InterruptedException {
    gateway.destroy();
    gateway.waitFor(2 * SHUTDOWN_SECONDS, TimeUnit.SECONDS);
    gateway.destroyForcibly();
  }

  private ObjectNode settings(String host, Address listen, Address ownPeers, Address seed) {
    ObjectNode settings =
        Json.newObject()
            .put("host", host)
            .put("failureDomain", "hall-m-1")
            .put("ip", "127.0.0.1")
            .put("metricsPort", FreePorts.next().port())
            .put("callers", listen.toString())
            .put("readiness", FreePorts.next().toString())
            .put("peers", ownPeers.toString())
            .put("store", platform.address().toString())
            .put("promotions", platform.address().toString())
            .put("shutdownSeconds", SHUTDOWN_SECONDS);
    settings.putObject("regions").put("hall-m-1", "r1");
    settings.putArray("seeds").add(seed.toString());
    return settings;
  }

  /** Retries a write until it succeeds, also while the gateway is still starting. */
  private static void awaitWrite(Address callers, long timeoutMillis)
      throws IOException, InterruptedException {
    long end = Clock.system().millis() + timeoutMillis;
    while (Clock.system().millis() < end) {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        if (caller.query("WRITE awaited 1").get(0).startsWith("DONE")) {
          return;
        }
      } catch (IOException e) {
        // The gateway is not listening yet.
      }
      Thread.sleep(RETRY_MILLIS);
    }
    throw new IOException("no write succeeded within " + timeoutMillis + " ms");
  }

  /** Records the classes that serve an HTTP call. */
  private void askReadiness() throws IOException {
    HttpURLConnection call =
        (HttpURLConnection)
            new URL("http://" + readiness + PlatformKeys.READY_PATH).openConnection();
    call.getResponseCode();
    call.disconnect();
  }

  private void runTraffic() throws IOException {
    for (int i = 0; i < TRAFFIC_ROUNDS; i++) {
      for (String database : List.of("strict", "aged", "own")) {
        try (LineCaller caller = LineCaller.open(callers, database)) {
          caller.query("SET zone north");
          caller.query("PREPARE p READ shape");
          caller.query("EXEC p k");
          caller.query("WRITE k " + i);
          caller.query("BEGIN");
          caller.query("WRITE k " + i);
          caller.query("COMMIT");
          caller.query("BEGIN READ");
          caller.query("READ k");
          caller.query("ROLLBACK");
        }
      }
    }
  }
}
