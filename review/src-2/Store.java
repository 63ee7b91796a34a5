import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

/**
 * The platform's metadata store and its promotion call, as PROTOCOL.md describes them. Each gateway
 * has a port of its own, so that the link of one gateway can be cut.
 */
final class Store {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final int PAGE = 500;

  private record Change(String kind, long revision, boolean deleted, ObjectNode object) {}

  private final Map<String, ObjectNode> objects = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Members members;
  private long revision = 1;
  long era = 1;

  /** Whether a gateway reaches the store; a call over a cut link stays without an answer. */
  Predicate<String> reachable = who -> true;

  /** Answers of the promotion call: 0 for the sound one, else an HTTP status. */
  volatile int promoteStatus;

  Store(Members members) {
    this.members = members;
  }

  int serve(String who) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(World::daemon));
    server.createContext("/", exchange -> handle(who, exchange));
    server.start();
    servers.add(server);
    return server.getAddress().getPort();
  }

  private void handle(String who, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String raw = exchange.getRequestURI().getRawPath();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    if (!reachable.test(who)) {
      while (!reachable.test(who)) {
        World.sleep(20);
      }
      exchange.close();
      return;
    }
    World.sleep(4);
    ObjectNode answer = JSON.createObjectNode();
    int status;
    if (raw.equals("/promote")) {
      JsonNode order = JSON.readTree(body);
      status =
          promoteStatus != 0
              ? promoteStatus
              : members.promote(
                  order.path("id").asText(),
                  exchange.getRequestHeaders().getFirst("X-Lease-Holder"),
                  exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
    } else if (raw.startsWith("/v1/objects/")) {
      String[] path = raw.substring("/v1/objects/".length()).split("/");
      String kind = URLDecoder.decode(path[0], StandardCharsets.UTF_8);
      String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
      boolean statusCall = path.length > 2;
      status =
          switch (exchange.getRequestMethod()) {
            case "GET" -> get(kind, name, query, answer);
            case "POST" -> create(kind, JSON.readTree(body), answer);
            case "PUT" -> replace(kind, name, statusCall, JSON.readTree(body), answer);
            case "DELETE" -> delete(kind, name, query, answer);
            default -> 405;
          };
    } else {
      status = 404;
    }
    if (!reachable.test(who)) {
      while (!reachable.test(who)) {
        World.sleep(20);
      }
      exchange.close();
      return;
    }
    byte[] bytes = JSON.writeValueAsBytes(answer);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        String[] pair = part.split("=", 2);
        query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private int get(String kind, String name, Map<String, String> query, ObjectNode answer) {
    if (query.containsKey("watch")) {
      return watch(kind, query, answer);
    }
    synchronized (this) {
      if (!name.isEmpty()) {
        ObjectNode object = objects.get(kind + "/" + name);
        if (object == null) {
          return 404;
        }
        answer.setAll(object.deepCopy());
        return 200;
      }
      answer.put("storeRevision", revision).put("more", false);
      ArrayNode items = answer.putArray("items");
      String after = query.getOrDefault("after", "");
      for (Map.Entry<String, ObjectNode> e : objects.entrySet()) {
        if (e.getKey().startsWith(kind + "/")
            && e.getKey().substring(kind.length() + 1).compareTo(after) > 0) {
          if (items.size() == PAGE) {
            answer.put("more", true);
            break;
          }
          items.add(e.getValue().deepCopy());
        }
      }
      return 200;
    }
  }

  private int watch(String kind, Map<String, String> query, ObjectNode answer) {
    long from = Long.parseLong(query.get("watch"));
    long end =
        System.currentTimeMillis()
            + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
    while (true) {
      synchronized (this) {
        if (from > revision) {
          return 410;
        }
        ArrayNode events = JSON.createArrayNode();
        for (Change change : changes) {
          if (change.kind().equals(kind) && change.revision() > from) {
            events.addObject().put("deleted", change.deleted()).set("object", change.object().deepCopy());
          }
        }
        if (!events.isEmpty() || System.currentTimeMillis() >= end) {
          answer.put("storeRevision", revision).set("events", events);
          return 200;
        }
      }
      World.sleep(10);
    }
  }

  private synchronized int create(String kind, JsonNode body, ObjectNode answer) {
    String name = body.path("meta").path("name").asText();
    ObjectNode existing = objects.get(kind + "/" + name);
    if (existing != null) {
      answer.setAll(existing.deepCopy());
      return 409;
    }
    answer.setAll(write(kind, name, body.path("spec")).deepCopy());
    return 201;
  }

  private synchronized int replace(
      String kind, String name, boolean statusCall, JsonNode body, ObjectNode answer) {
    ObjectNode existing = objects.get(kind + "/" + name);
    if (existing == null) {
      return 404;
    }
    long expected = body.path("meta").path("revision").asLong(-1);
    if (expected >= 0 && expected != existing.path("meta").path("revision").asLong()) {
      answer.setAll(existing.deepCopy());
      return 409;
    }
    String part = statusCall ? "status" : "spec";
    if (!existing.path(part).equals(body.path(part))) {
      ObjectNode changed = existing.deepCopy();
      changed.set(part, body.path(part));
      existing = put(kind, name, changed);
    }
    answer.setAll(existing.deepCopy());
    return 200;
  }

  private synchronized int delete(
      String kind, String name, Map<String, String> query, ObjectNode answer) {
    ObjectNode existing = objects.get(kind + "/" + name);
    if (existing == null) {
      return 404;
    }
    if (query.containsKey("revision")
        && Long.parseLong(query.get("revision")) != existing.path("meta").path("revision").asLong()) {
      answer.setAll(existing.deepCopy());
      return 409;
    }
    remove(kind, name);
    return 200;
  }

  synchronized void remove(String kind, String name) {
    ObjectNode object = objects.remove(kind + "/" + name);
    if (object != null) {
      revision++;
      ObjectNode last = object.deepCopy();
      ((ObjectNode) last.path("meta")).put("revision", revision);
      changes.add(new Change(kind, revision, true, last));
    }
  }

  synchronized ObjectNode write(String kind, String name, JsonNode spec) {
    ObjectNode existing = objects.get(kind + "/" + name);
    ObjectNode object = JSON.createObjectNode();
    ObjectNode meta = object.putObject("meta").put("name", name);
    meta.put("created", existing == null ? revision + 1 : existing.path("meta").path("created").asLong());
    meta.putArray("finalizers");
    meta.put("deleting", false);
    object.set("spec", spec);
    object.putObject("status");
    return put(kind, name, object);
  }

  private ObjectNode put(String kind, String name, ObjectNode object) {
    revision++;
    ((ObjectNode) object.path("meta")).put("revision", revision);
    objects.put(kind + "/" + name, object);
    changes.add(new Change(kind, revision, false, object));
    return object;
  }

  synchronized boolean contains(String kind, String name) {
    return objects.containsKey(kind + "/" + name);
  }

  void stop() {
    servers.forEach(server -> server.stop(0));
  }
}
