package org.sardinebay.standins.driver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Address;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.record.FieldReader;
import org.sardinebay.standins.relay.Cut;

/** Calls the HTTP interfaces of a deployment's processes directly, bypassing the relay. */
final class ControlClient {
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int OK = 200;

  private final Topology topology;
  private final JsonHttpClient http;

  ControlClient(Topology topology, JsonHttpClient http) {
    this.topology = topology;
    this.http = http;
  }

  boolean isHealthy(Node node) {
    return call(HttpMethod.GET, node.listen(), "/health", Optional.empty()).isPresent();
  }

  boolean isReady(Node node) {
    return call(HttpMethod.GET, node.listen(), "/ready", Optional.empty()).isPresent();
  }

  Optional<JsonNode> dump(Node node) {
    return call(HttpMethod.GET, node.listen(), "/dump", Optional.empty());
  }

  Optional<JsonNode> readObject(String kind, String name) {
    return call(HttpMethod.GET, platform(), path(kind, name), Optional.empty());
  }

  /**
   * Writes an object to the platform and returns its new version; empty if the platform refused the
   * write or did not respond.
   */
  OptionalLong put(String kind, String name, long expectedVersion, ObjectNode body) {
    ObjectNode write = Json.newObject().put("expectedVersion", expectedVersion);
    write.set("body", body);
    Optional<JsonNode> written =
        call(HttpMethod.PUT, platform(), path(kind, name), Optional.of(write));
    return written.isPresent()
        ? OptionalLong.of(written.get().path("version").asLong())
        : OptionalLong.empty();
  }

  Optional<JsonNode> setPlatformFaults(ObjectNode faults) {
    return call(HttpMethod.POST, platform(), "/admin/faults", Optional.of(faults));
  }

  Optional<JsonNode> platformCounters() {
    return call(HttpMethod.GET, platform(), "/admin/counters", Optional.empty());
  }

  Optional<JsonNode> setEndpointFaults(String member, ObjectNode faults) {
    Address address = topology.node(member).listen();
    return call(HttpMethod.POST, address, "/admin/faults", Optional.of(faults));
  }

  Optional<JsonNode> changeLinks(
      Collection<String> sources, Collection<String> targets, Cut cut, OptionalLong delayMillis) {
    ObjectNode body = Json.newObject().put("cut", FieldReader.jsonName(cut));
    ArrayNode sourceNames = body.putArray("sources");
    sources.forEach(sourceNames::add);
    ArrayNode targetNames = body.putArray("targets");
    targets.forEach(targetNames::add);
    delayMillis.ifPresent(millis -> body.put("delayMillis", millis));
    Address relay = topology.nodes(ProcessKind.RELAY).get(0).listen();
    return call(HttpMethod.POST, relay, "/links", Optional.of(body));
  }

  private Address platform() {
    return topology.node(Topology.PLATFORM).listen();
  }

  private static String path(String kind, String name) {
    return "/v1/objects/" + kind + "/" + name;
  }

  private Optional<JsonNode> call(
      HttpMethod method, Address address, String path, Optional<JsonNode> body) {
    HttpCallResult result = http.call(method, address, path, body, TIMEOUT_MILLIS).join();
    if (result instanceof HttpCallResult.Response response && response.status() == OK) {
      return Optional.of(response.body());
    }
    return Optional.empty();
  }
}
