import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's metadata store and its promotion service. Each gateway has an address of its own,
 * at which the store can turn this gateway away.
 */
final class Store {
  /** Receives promotion orders. */
  interface Promotions {
    int promote(String gateway, String member, String holder, long token);
  }

  private record Change(String kind, long revision, boolean deleted, Map<String, Object> object) {}

  private record Reply(int status, Object body) {}

  private final Map<String, TreeMap<String, Map<String, Object>>> objects = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Set<String> turnedAway = ConcurrentHashMap.newKeySet();
  private final Promotions promotions;
  private final Record record;
  private long revision = 1;

  Store(Promotions promotions, Record record) {
    this.promotions = promotions;
    this.record = record;
  }

  /** Opens an address for one gateway. */
  int open(String gateway) throws IOException {
    ServerSocket listener = new ServerSocket(Fleet.freePort(), 50, InetAddress.getByName("127.0.0.1"));
    Fleet.thread(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            Fleet.thread(() -> serve(socket, gateway));
          }
        });
    return listener.getLocalPort();
  }

  /** Sets whether the store answers a gateway with status 503. */
  void turnAway(String gateway, boolean away) {
    if (away) {
      turnedAway.add(gateway);
    } else {
      turnedAway.remove(gateway);
    }
    record.line("store " + (away ? "turns away " : "serves again ") + gateway);
  }

  synchronized void put(String kind, String name, Object spec) {
    TreeMap<String, Map<String, Object>> all = objects.computeIfAbsent(kind, k -> new TreeMap<>());
    revision++;
    Map<String, Object> meta =
        Json.map(
            "name", name, "revision", revision, "created", 1L, "finalizers", List.of(), "deleting",
            false);
    Map<String, Object> object = Json.map("meta", meta, "spec", spec, "status", null);
    all.put(name, object);
    changes.add(new Change(kind, revision, false, object));
    notifyAll();
  }

  synchronized void delete(String kind, String name) {
    Map<String, Object> object =
        objects.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
    if (object != null) {
      revision++;
      changes.add(new Change(kind, revision, true, object));
      notifyAll();
    }
  }

  private void serve(Socket socket, String gateway) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        String requestLine = line(in);
        if (requestLine == null) {
          return;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
          int colon = header.indexOf(':');
          headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        String[] words = requestLine.split(" ");
        Reply reply = reply(gateway, words[0], words[1], headers, body);
        byte[] bytes = Json.write(reply.body()).getBytes(StandardCharsets.UTF_8);
        String head =
            "HTTP/1.1 " + reply.status() + " X\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.toString(StandardCharsets.UTF_8).replace("\r", "");
      }
      line.write(c);
    }
    return null;
  }

  private Reply reply(
      String gateway, String method, String target, Map<String, String> headers, String body) {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String part : target.substring(mark + 1).split("&")) {
        String[] pair = part.split("=", 2);
        query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
    }
    if (path.equals("/promote")) {
      Map<String, Object> order = Json.object(Json.parse(body));
      int status =
          promotions.promote(
              gateway,
              (String) order.get("id"),
              headers.get("X-Lease-Holder"),
              Long.parseLong(headers.get("X-Fencing-Token")));
      return new Reply(status, Json.map());
    }
    if (turnedAway.contains(gateway)) {
      return new Reply(503, Json.map());
    }
    String[] key = path.substring("/v1/objects/".length()).split("/", 2);
    String kind = URLDecoder.decode(key[0], StandardCharsets.UTF_8);
    if (method.equals("GET") && query.containsKey("watch")) {
      return watch(gateway, kind, Long.parseLong(query.get("watch")),
          Long.parseLong(query.getOrDefault("waitMs", "0")));
    }
    synchronized (this) {
      TreeMap<String, Map<String, Object>> all =
          objects.computeIfAbsent(kind, k -> new TreeMap<>());
      if (method.equals("GET") && key.length == 1) {
        List<Object> items =
            new ArrayList<>(all.tailMap(query.getOrDefault("after", ""), false).values());
        return new Reply(
            200, Json.map("items", items, "more", false, "storeRevision", revision));
      }
      Map<String, Object> request = body.isEmpty() ? Json.map() : Json.object(Json.parse(body));
      Map<String, Object> meta = Json.object(request.get("meta"));
      String name = key.length == 1 ? (String) meta.get("name") : key[1];
      name = URLDecoder.decode(name, StandardCharsets.UTF_8);
      Map<String, Object> existing = all.get(name);
      if (method.equals("GET")) {
        return existing == null ? new Reply(404, Json.map()) : new Reply(200, existing);
      }
      if (method.equals("POST") && existing != null) {
        return new Reply(409, existing);
      }
      if (method.equals("PUT")) {
        if (existing == null) {
          return new Reply(404, Json.map());
        }
        Object expected = meta.get("revision");
        if (expected != null
            && !expected.equals(Json.object(existing.get("meta")).get("revision"))) {
          return new Reply(409, existing);
        }
      }
      if (method.equals("DELETE")) {
        delete(kind, name);
        return new Reply(200, Json.map());
      }
      put(kind, name, request.get("spec"));
      record.line("store: " + gateway + " writes " + kind + "/" + name + " "
          + Json.write(request.get("spec")));
      return new Reply(method.equals("POST") ? 201 : 200, all.get(name));
    }
  }

  private synchronized Reply watch(String gateway, String kind, long after, long waitMillis) {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      List<Object> events = new ArrayList<>();
      for (Change change : changes) {
        if (change.kind().equals(kind) && change.revision() > after) {
          events.add(Json.map("object", change.object(), "deleted", change.deleted()));
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return new Reply(200, Json.map("events", events, "storeRevision", revision));
      }
      try {
        wait(Math.min(left, 100));
      } catch (InterruptedException e) {
        return new Reply(503, Json.map());
      }
      if (turnedAway.contains(gateway)) {
        return new Reply(503, Json.map());
      }
    }
  }
}
