package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Clock;

/**
 * Simulates two operators who write the same staleness record concurrently, one in each schema
 * version. Each write is conditional on the version that the operator read; a write that the
 * platform refuses is not repeated.
 */
final class OperatorRace {
  private static final String KIND = "staleness";
  private static final int WRITES = 5;
  private static final int FIRST_AGE_SECONDS = 5;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final ControlClient controls;
  private final ConfigurationMonitor monitor;
  private final Clock clock;

  OperatorRace(ControlClient controls, ConfigurationMonitor monitor, Clock clock) {
    this.controls = controls;
    this.monitor = monitor;
    this.clock = clock;
  }

  void run(String record) {
    Thread first = new Thread(() -> write(record, 1), "operator-1");
    Thread second = new Thread(() -> write(record, 2), "operator-2");
    first.start();
    second.start();
    try {
      first.join();
      second.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(String record, int schemaVersion) {
    for (int i = 0; i < WRITES; i++) {
      Optional<JsonNode> current = controls.readObject(KIND, record);
      if (current.isEmpty()) {
        continue;
      }
      ObjectNode body = ((ObjectNode) current.get().path("body")).deepCopy();
      setAge(body, schemaVersion, FIRST_AGE_SECONDS + i);
      OptionalLong written =
          controls.put(KIND, record, current.get().path("version").asLong(), body);
      written.ifPresent(
          version -> monitor.recordWrite(KIND + "/" + record, version, clock.millis()));
    }
  }

  private static void setAge(ObjectNode body, int schemaVersion, int seconds) {
    body.remove("maxAgeSeconds");
    body.remove("maxAgeMillis");
    body.put("schemaVersion", schemaVersion);
    if (schemaVersion == 1) {
      body.put("maxAgeSeconds", seconds);
    } else {
      body.put("maxAgeMillis", seconds * MILLIS_PER_SECOND);
    }
  }
}
