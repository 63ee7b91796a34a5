package org.sardinebay.standins.impeller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.http.Json;
import org.sardinebay.standins.platform.FreePorts;

/**
 * Runs a gateway process against the platform stand-in, with callers, a primary change and a
 * shutdown, so that its JVM records the classes that a gateway loads in operation.
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

  private final Address callers = FreePorts.next();
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
    Path settings = Files.createTempFile("gateway", ".json");
    Files.writeString(settings, settings().toString());
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of("-Xshare:off", "-XX:+UseSerialGC", "-XX:DumpLoadedClassList=" + classList));
    command.addAll(List.of("-Dsardinebay.logging=gateway", "-jar", jar));
    command.addAll(List.of("--settings", settings.toString()));
    Process gateway =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(new File(classList + ".log"))
            .start();
    try {
      awaitWrite(START_TIMEOUT_MILLIS);
      runTraffic();
      platform.member(0).crash();
      awaitWrite(PRIMARY_CHANGE_TIMEOUT_MILLIS);
      runTraffic();
    } finally {
      gateway.destroy();
      gateway.waitFor(2 * SHUTDOWN_SECONDS, TimeUnit.SECONDS);
      gateway.destroyForcibly();
      Files.delete(settings);
    }
  }

  private ObjectNode settings() {
    ObjectNode settings =
        Json.newObject()
            .put("host", "host-1")
            .put("failureDomain", "hall-m-1")
            .put("ip", "127.0.0.1")
            .put("metricsPort", FreePorts.next().port())
            .put("callers", callers.toString())
            .put("readiness", FreePorts.next().toString())
            .put("peers", FreePorts.next().toString())
            .put("store", platform.address().toString())
            .put("promotions", platform.address().toString())
            .put("shutdownSeconds", SHUTDOWN_SECONDS);
    settings.putObject("regions").put("hall-m-1", "r1");
    settings.putArray("seeds").add(FreePorts.next().toString());
    return settings;
  }

  /** Retries a write until it succeeds, also while the gateway is still starting. */
  private void awaitWrite(long timeoutMillis) throws IOException, InterruptedException {
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
