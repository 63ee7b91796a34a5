package org.sardinebay.standins.impeller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.net.http.HttpHandler;
import org.sardinebay.net.http.HttpServerRequest;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.http.Route;

/** Stand-in for the platform's metadata store and promotion service. */
public final class MetadataStore {
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;
  private static final int PAGE_SIZE = 2;

  private static final HttpHeader ERA = HttpHeaders.of("Store-Era");
  private static final HttpHeader LEASE_HOLDER = HttpHeaders.of("X-Lease-Holder");
  private static final HttpHeader FENCING_TOKEN = HttpHeaders.of("X-Fencing-Token");

  private record Change(String kind, long revision, boolean deleted, ObjectNode object) {}

  /**
   * The objects at one moment, from which the store can be restored.
   *
   * @param revision the store's revision at that moment
   * @param objects the objects by kind and name
   */
  record Copy(long revision, Map<String, ObjectNode> objects) {}

  /**
   * An order to promote a member.
   *
   * @param member the member
   * @param holder the host that gave the order
   * @param token its fencing token
   */
  record Promotion(String member, String holder, long token) {}

  private final MemberGroup group;
  private final Map<String, ObjectNode> objects = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Promotion> promotions = new ArrayList<>();
  private CompletableFuture<Void> nextChange = new CompletableFuture<>();
  private long revision = 1;
  private long oldestWatchRevision = 1;
  private long era = 1;
  private boolean down;
  private boolean loseWriteAnswers;

  private MetadataStore(MemberGroup group) {
    this.group = group;
  }

  static MetadataStore start(Address address, MemberGroup group) throws IOException {
    MetadataStore store = new MetadataStore(group);
    JsonHttpServer.start(
        address,
        1,
        List.of(
            Route.get("/v1/objects/*", store.namingEra(store::onGet)),
            Route.post("/v1/objects/*", store.namingEra(store::onCreate)),
            Route.put("/v1/objects/*", store.namingEra(store::onReplace)),
            Route.post("/promote", store::onPromote)));
    return store;
  }

  /** Writes an object without a version check, as an operator or a member would. */
  synchronized void put(String kind, String name, JsonNode spec) {
    store(kind, name, spec);
  }

  synchronized void delete(String kind, String name) {
    ObjectNode object = objects.remove(kind + "/" + name);
    revision++;
    notifyWatchers(new Change(kind, revision, true, object));
  }

  /** Deletes and recreates an object so that a watch returns both changes in one page. */
  synchronized void replaceInOnePage(String kind, String name) {
    ObjectNode object = objects.get(kind + "/" + name);
    revision++;
    changes.add(new Change(kind, revision, true, object));
    store(kind, name, object.path("spec"));
  }

  /** Sets whether the store answers all calls except promotions with status 503. */
  synchronized void down(boolean isDown) {
    down = isDown;
  }

  /** Sets whether writes take effect without being answered. */
  synchronized void loseWriteAnswers(boolean losing) {
    loseWriteAnswers = losing;
  }

  /** Discards the history of changes, so that watches from older revisions get status 410. */
  synchronized void compact() {
    changes.clear();
    revision++;
    oldestWatchRevision = revision;
  }

  /** Returns a copy of all objects. */
  synchronized Copy copy() {
    return new Copy(revision, deepCopy(objects));
  }

  /**
   * Replaces all objects by an earlier copy. Later writes are lost, their revisions are assigned
   * again, and pending watches are refused.
   */
  synchronized void restore(Copy copy) {
    era++;
    objects.clear();
    objects.putAll(deepCopy(copy.objects()));
    revision = copy.revision();
    changes.removeIf(change -> change.revision > revision);
    wakeWatchers();
  }

  private static Map<String, ObjectNode> deepCopy(Map<String, ObjectNode> objects) {
    Map<String, ObjectNode> copy = new TreeMap<>();
    objects.forEach((key, object) -> copy.put(key, object.deepCopy()));
    return copy;
  }

  synchronized List<Promotion> promotions() {
    return List.copyOf(promotions);
  }

  /** Returns whether there is an object of a kind with a name. */
  synchronized boolean contains(String kind, String name) {
    return objects.containsKey(kind + "/" + name);
  }

  private HttpHandler namingEra(HttpHandler handler) {
    return request ->
        handler
            .handle(request)
            .thenApply(response -> response.withHeader(ERA, Long.toString(currentEra())));
  }

  private synchronized long currentEra() {
    return era;
  }

  private ObjectNode store(String kind, String name, JsonNode spec) {
    revision++;
    ObjectNode object = Json.newObject();
    object.putObject("meta").put("name", name).put("revision", revision);
    object.set("spec", spec);
    objects.put(kind + "/" + name, object);
    notifyWatchers(new Change(kind, revision, false, object));
    return object;
  }

  private void notifyWatchers(Change change) {
    changes.add(change);
    wakeWatchers();
  }

  private void wakeWatchers() {
    CompletableFuture<Void> waiting = nextChange;
    nextChange = new CompletableFuture<>();
    waiting.completeAsync(() -> null);
  }

  private synchronized CompletableFuture<HttpServerResponse> onGet(HttpServerRequest request) {
    if (down) {
      return response(UNAVAILABLE, Json.newObject());
    }
    if (request.query().containsKey("watch")) {
      return onWatch(request);
    }
    if (request.path().contains("/")) {
      ObjectNode object = objects.get(request.path());
      return object == null
          ? response(NOT_FOUND, Json.newObject())
          : response(HttpServerResponse.OK, object.deepCopy());
    }
    return response(
        HttpServerResponse.OK, list(request.path(), request.query().getOrDefault("after", "")));
  }

  private ObjectNode list(String kind, String after) {
    ObjectNode page = Json.newObject().put("storeRevision", revision).put("more", false);
    ArrayNode items = page.putArray("items");
    for (Map.Entry<String, ObjectNode> object : objects.entrySet()) {
      boolean listed =
          object.getKey().startsWith(kind + "/")
              && object.getKey().substring(kind.length() + 1).compareTo(after) > 0;
      if (listed && items.size() == PAGE_SIZE) {
        page.put("more", true);
      } else if (listed) {
        items.add(object.getValue().deepCopy());
      }
    }
    return page;
  }

  private CompletableFuture<HttpServerResponse> onWatch(HttpServerRequest request) {
    long after = Long.parseLong(request.query().get("watch"));
    if (after < oldestWatchRevision || after > revision) {
      return response(GONE, Json.newObject());
    }
    ObjectNode page = eventsAfter(request.path(), after);
    if (!page.path("events").isEmpty()) {
      return response(HttpServerResponse.OK, page);
    }
    long watchedEra = era;
    long waitMillis = Long.parseLong(request.query().getOrDefault("waitMs", "0"));
    return nextChange
        .copy()
        .completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
        .thenApply(any -> lateEvents(request.path(), after, watchedEra));
  }

  private synchronized HttpServerResponse lateEvents(String kind, long after, long watchedEra) {
    return down || era != watchedEra
        ? HttpServerResponse.json(UNAVAILABLE, Json.newObject())
        : HttpServerResponse.json(HttpServerResponse.OK, eventsAfter(kind, after));
  }

  private ObjectNode eventsAfter(String kind, long after) {
    ObjectNode page = Json.newObject().put("storeRevision", revision);
    ArrayNode events = page.putArray("events");
    changes.stream()
        .filter(change -> change.kind.equals(kind) && change.revision > after)
        .forEach(
            change ->
                events
                    .addObject()
                    .put("deleted", change.deleted)
                    .set("object", change.object.deepCopy()));
    return page;
  }

  private synchronized CompletableFuture<HttpServerResponse> onCreate(HttpServerRequest request) {
    if (down) {
      return response(UNAVAILABLE, Json.newObject());
    }
    JsonNode body = request.body().orElseThrow();
    String name = body.path("meta").path("name").asText();
    ObjectNode existing = objects.get(request.path() + "/" + name);
    if (existing != null) {
      return response(CONFLICT, existing.deepCopy());
    }
    return written(CREATED, store(request.path(), name, body.path("spec")));
  }

  private synchronized CompletableFuture<HttpServerResponse> onReplace(HttpServerRequest request) {
    if (down) {
      return response(UNAVAILABLE, Json.newObject());
    }
    ObjectNode existing = objects.get(request.path());
    if (existing == null) {
      return response(NOT_FOUND, Json.newObject());
    }
    JsonNode body = request.body().orElseThrow();
    long expected = body.path("meta").path("revision").asLong();
    if (expected != existing.path("meta").path("revision").asLong()) {
      return response(CONFLICT, existing.deepCopy());
    }
    String[] key = request.path().split("/", 2);
    return written(HttpServerResponse.OK, store(key[0], key[1], body.path("spec")));
  }

  private CompletableFuture<HttpServerResponse> written(int status, ObjectNode object) {
    return loseWriteAnswers ? new CompletableFuture<>() : response(status, object.deepCopy());
  }

  private synchronized CompletableFuture<HttpServerResponse> onPromote(HttpServerRequest request) {
    String member = request.body().orElseThrow().path("id").asText();
    promotions.add(
        new Promotion(
            member,
            request.header().apply(LEASE_HOLDER).orElseThrow(),
            Long.parseLong(request.header().apply(FENCING_TOKEN).orElseThrow())));
    return response(group.promote(member) ? HttpServerResponse.OK : CONFLICT, Json.newObject());
  }

  private static CompletableFuture<HttpServerResponse> response(int status, ObjectNode body) {
    return CompletableFuture.completedFuture(HttpServerResponse.json(status, body));
  }
}
