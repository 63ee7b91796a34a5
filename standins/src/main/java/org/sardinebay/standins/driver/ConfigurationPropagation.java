package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Clock;
import org.sardinebay.net.http.Json;

/**
 * Measures how long a configuration change takes to reach every proxy and controller.
 *
 * <pre>{@code
 * List<Long> millis = new ConfigurationPropagation(deployment, clock).measure(5);
 * }</pre>
 */
final class ConfigurationPropagation {
  private static final String KIND = "staleness";
  private static final String NAME = "capacity";
  private static final long POLL_MILLIS = 10;
  private static final long MAX_PROPAGATION_MILLIS = 16_000;

  private final Deployment deployment;
  private final Clock clock;

  ConfigurationPropagation(Deployment deployment, Clock clock) {
    this.deployment = deployment;
    this.clock = clock;
  }

  /**
   * Makes changes sequentially and returns how long each took to propagate, in milliseconds.
   *
   * @param changes the number of changes
   * @throws IOException if the platform refuses or does not answer a change, or a change takes more
   *     than 16 s
   */
  List<Long> measure(int changes) throws IOException, InterruptedException {
    List<Long> millis = new ArrayList<>();
    long version = 0;
    for (int change = 1; change <= changes; change++) {
      long startMillis = clock.millis();
      version = write(version, change);
      awaitEverywhere(version, startMillis + MAX_PROPAGATION_MILLIS);
      millis.add(clock.millis() - startMillis);
    }
    return millis;
  }

  private long write(long expectedVersion, int ageSeconds) throws IOException {
    ObjectNode body =
        Json.newObject()
            .put("schemaVersion", 1)
            .put("database", "*")
            .put("callerPrefix", "capacity-")
            .put("maxAgeSeconds", ageSeconds);
    OptionalLong written = deployment.controls().put(KIND, NAME, expectedVersion, body);
    return written.orElseThrow(() -> new IOException("the platform refused a change"));
  }

  private void awaitEverywhere(long version, long deadlineMillis)
      throws IOException, InterruptedException {
    for (Node node : deployment.topology().nodes()) {
      boolean hasConfiguration =
          node.kind() == ProcessKind.PROXY || node.kind() == ProcessKind.CONTROLLER;
      while (hasConfiguration && generation(node) < version) {
        if (clock.millis() > deadlineMillis) {
          throw new IOException(node.name() + " does not hold generation " + version);
        }
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    }
  }

  private long generation(Node node) {
    return deployment
        .controls()
        .dump(node)
        .map(dump -> dump.path("generations").path(KIND + "/" + NAME).asLong())
        .orElse(0L);
  }
}
