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
 * Runs a gateway as a process before a platform stand-in, with callers, a change of primary and a
 * shutdown, so that its JVM can record which classes a day of service loads.
 *
 * <pre>{@code
 * java -cp ... org.sardinebay.standins.impeller.TrainingRun target/sardinebay-gateway.jar out.list
 * }</pre>
 */
public final class TrainingRun {
  private static final long START_MILLIS = 20_000;
  private static final long CHANGE_MILLIS = 12_000;
  private static final long PAUSE_MILLIS = 100;
  private static final int ROUNDS = 20;
  private static final int SHUTDOWN_SECONDS = 3;

  private final Address callers = FreePorts.next();
  private final ImpellerPlatform platform;

  private TrainingRun(ImpellerPlatform platform) {
    this.platform = platform;
  }

  /**
   * Runs it.
   *
   * @param args the gateway's jar, and the file for the list of classes
   * @throws IOException if a process or socket can't be had
   * @throws InterruptedException if the run is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    try (ImpellerPlatform platform = ImpellerPlatform.start(FreePorts::next, Clock.system())) {
      new TrainingRun(platform).run(args[0], args[1]);
    }
    // The stand-ins' threads go on for ever.
    System.exit(0);
  }

  private void run(String jar, String list) throws IOException, InterruptedException {
    Path settings = Files.createTempFile("gateway", ".json");
    Files.writeString(settings, settings().toString());
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xshare:off", "-XX:+UseSerialGC", "-XX:DumpLoadedClassList=" + list));
    command.addAll(List.of("-Dsardinebay.logging=gateway", "-jar", jar));
    command.addAll(List.of("--settings", settings.toString()));
    Process gateway =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(new File(list + ".log"))
            .start();
    try {
      await(START_MILLIS);
      traffic();
      platform.member(0).crash();
      await(CHANGE_MILLIS);
      traffic();
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

  /** Waits until a write succeeds. */
  private void await(long patienceMillis) throws IOException, InterruptedException {
    long end = Clock.system().millis() + patienceMillis;
    while (Clock.system().millis() < end) {
      try (LineCaller caller = LineCaller.open(callers, "strict")) {
        if (caller.query("WRITE awaited 1").get(0).startsWith("DONE")) {
          return;
        }
      } catch (IOException e) {
        // The gateway does not listen yet.
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    throw new IOException("no write succeeded within " + patienceMillis + " ms");
  }

  private void traffic() throws IOException {
    for (int i = 0; i < ROUNDS; i++) {
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
