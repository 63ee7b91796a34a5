package org.sardinebay.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.net.http.HttpServerRequest;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.Route;
import org.sardinebay.net.platform.PlatformObjectCodec;
import org.sardinebay.platform.HostListCodec;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformResult;

/** HTTP routes of the platform API: objects, watches and the host list. */
final class ObjectRoutes {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int RATE_LIMITED = 429;
  private static final int UNAVAILABLE = 503;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final int PATH_PARTS = 2;

  private final PlatformService service;

  ObjectRoutes(PlatformService service) {
    this.service = service;
  }

  List<Route> routes() {
    return List.of(
        Route.get("/v1/objects/*", this::read),
        Route.put("/v1/objects/*", this::write),
        Route.delete("/v1/objects/*", this::delete),
        Route.get("/v1/watch", this::watch),
        Route.get("/v1/hosts", this::hosts));
  }

  private CompletableFuture<HttpServerResponse> read(HttpServerRequest httpRequest) {
    Optional<ObjectKey> key = key(httpRequest);
    if (key.isEmpty()) {
      return badRequest("the path must be /v1/objects/{kind}/{name}");
    }
    return service.call(state -> state.read(key.get())).thenApply(ObjectRoutes::response);
  }

  private CompletableFuture<HttpServerResponse> write(HttpServerRequest httpRequest) {
    Optional<ObjectKey> key = key(httpRequest);
    JsonNode fields = httpRequest.body().orElse(MissingNode.getInstance());
    JsonNode expected = fields.path("expectedVersion");
    if (key.isEmpty()
        || !expected.isIntegralNumber()
        || !(fields.path("body") instanceof ObjectNode body)) {
      return badRequest("a write must have a kind, a name, expectedVersion and an object as body");
    }
    return service
        .call(state -> state.write(key.get(), expected.longValue(), body))
        .thenApply(ObjectRoutes::response);
  }

  private CompletableFuture<HttpServerResponse> delete(HttpServerRequest httpRequest) {
    Optional<ObjectKey> key = key(httpRequest);
    OptionalLong expected = number(httpRequest, "expectedVersion");
    if (key.isEmpty() || expected.isEmpty()) {
      return badRequest("a deletion must have a kind, a name and expectedVersion");
    }
    return service
        .call(state -> state.delete(key.get(), expected.getAsLong()))
        .thenApply(result -> deleted(result) ? ok(Json.newObject()) : response(result));
  }

  private CompletableFuture<HttpServerResponse> watch(HttpServerRequest httpRequest) {
    String kinds = httpRequest.query().getOrDefault("kinds", "");
    OptionalLong after = number(httpRequest, "after");
    OptionalLong wait = number(httpRequest, "waitMillis");
    if (kinds.isEmpty() || after.isEmpty() || wait.isEmpty()) {
      return badRequest("a watch must have kinds, after and waitMillis");
    }
    return service
        .watch(
            Arrays.asList(kinds.split(",", -1)),
            after.getAsLong(),
            Math.min(wait.getAsLong(), MAX_WAIT_MILLIS))
        .thenApply(ObjectRoutes::response);
  }

  private CompletableFuture<HttpServerResponse> hosts(HttpServerRequest httpRequest) {
    return service.call(PlatformState::hosts).thenApply(ObjectRoutes::response);
  }

  private static boolean deleted(PlatformResult result) {
    return result instanceof PlatformResult.Found;
  }

  private static HttpServerResponse response(PlatformResult result) {
    if (result instanceof PlatformResult.Found found) {
      return ok(PlatformObjectCodec.write(found.object()));
    }
    if (result instanceof PlatformResult.Conflict conflict) {
      return HttpServerResponse.json(
          CONFLICT, Json.newObject().put("currentVersion", conflict.currentVersion()));
    }
    if (result instanceof PlatformResult.Listing listing) {
      return ok(listing(listing));
    }
    if (result instanceof PlatformResult.Hosts hosts) {
      return ok(HostListCodec.write(hosts.hosts()).put("revision", hosts.revision()));
    }
    if (result instanceof PlatformResult.Failed failed) {
      boolean rateLimited = failed.failure() == PlatformFailure.RATE_LIMITED;
      return HttpServerResponse.json(rateLimited ? RATE_LIMITED : UNAVAILABLE, Json.newObject());
    }
    return HttpServerResponse.json(NOT_FOUND, Json.newObject());
  }

  private static ObjectNode listing(PlatformResult.Listing listing) {
    ObjectNode tree = Json.newObject().put("revision", listing.revision());
    ArrayNode objects = tree.putArray("objects");
    listing.objects().forEach(object -> objects.add(PlatformObjectCodec.write(object)));
    return tree;
  }

  private static Optional<ObjectKey> key(HttpServerRequest httpRequest) {
    String[] parts = httpRequest.path().split("/", -1);
    if (parts.length != PATH_PARTS || parts[0].isEmpty() || parts[1].isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new ObjectKey(unescape(parts[0]), unescape(parts[1])));
  }

  private static String unescape(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static OptionalLong number(HttpServerRequest httpRequest, String parameter) {
    try {
      long value = Long.parseLong(httpRequest.query().getOrDefault(parameter, ""));
      return value >= 0 ? OptionalLong.of(value) : OptionalLong.empty();
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static HttpServerResponse ok(JsonNode body) {
    return HttpServerResponse.json(HttpServerResponse.OK, body);
  }

  private static CompletableFuture<HttpServerResponse> badRequest(String message) {
    return CompletableFuture.completedFuture(
        HttpServerResponse.json(BAD_REQUEST, Json.newObject().put("message", message)));
  }
}
