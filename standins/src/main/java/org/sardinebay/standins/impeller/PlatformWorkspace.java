package org.sardinebay.standins.impeller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.sardinebay.net.http.Json;

/**
 * A workspace in the configuration of a {@link LineProtocolPlatform}.
 *
 * @param name the name
 * @param operationsPerSecond the rate of its quota
 * @param burst the burst of its quota
 * @param keys the keys of its callers
 */
record PlatformWorkspace(String name, int operationsPerSecond, int burst, List<String> keys) {
  private static final int UNLIMITED = -1;

  /** Returns a workspace without a quota. */
  static PlatformWorkspace of(String name, String... keys) {
    return new PlatformWorkspace(name, UNLIMITED, UNLIMITED, List.of(keys));
  }

  ObjectNode toJson() {
    ObjectNode node = Json.newObject().put("name", name).put("priority", 1);
    if (operationsPerSecond != UNLIMITED) {
      node.put("ratePerS", operationsPerSecond).put("burst", burst);
    }
    node.putArray("apiKeys");
    keys.forEach(key -> node.withArray("apiKeys").add(key));
    return node;
  }
}
