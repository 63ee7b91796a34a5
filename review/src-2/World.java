import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment: gateways as processes, and stand-ins for the members and the platform. */
final class World implements AutoCloseable {
  static final long HEARTBEAT_MILLIS = 1_200;

  /** What one client attempt sent and got. */
  record Attempt(
      String client, String gateway, String id, String text, long sentAt, long endedAt,
      String outcome, String row) {}

  final Members members;
  final Store store;
  final Path folder;
  final Path root;
  final Map<String, Process> gateways = new LinkedHashMap<>();
  final Map<String, Integer> callerPorts = new HashMap<>();
  final Map<String, Integer> readyPorts = new HashMap<>();
  final Map<String, ObjectNode> settings = new HashMap<>();
  final List<Attempt> attempts = new ArrayList<>();
  final long startedAt = System.currentTimeMillis();
  private final Map<String, Long> heardAt = new HashMap<>();
  private final Path temporary;
  private volatile boolean stopped;

  World(Path root, Path folder, Members members) throws IOException {
    this.root = root;
    this.folder = folder;
    this.members = members;
    this.store = new Store(members);
    this.temporary = Files.createTempDirectory("review-2");
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    thread(
        () -> {
          while (!stopped) {
            members.tick(System.currentTimeMillis());
            sleep(2);
          }
        });
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static void thread(Runnable task) {
    daemon(task).start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Shortens a text for the record. */
  static String brief(String text) {
    return text.length() > 120 ? text.substring(0, 100) + "... " + text.length() : text;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** Members write their entries; an entry lapses after three intervals of silence. */
  void startHeartbeats() {
    thread(
        () -> {
          Map<String, Long> sentAt = new HashMap<>();
          Map<String, String> sent = new HashMap<>();
          while (!stopped) {
            long now = System.currentTimeMillis();
            for (Members.Member member : members.members.values()) {
              String shown = member.state + member.leads;
              boolean due =
                  now - sentAt.getOrDefault(member.id, 0L) >= HEARTBEAT_MILLIS
                      || !shown.equals(sent.get(member.id));
              if (member.running && due && members.reaches.test(member.id, "store")) {
                sentAt.put(member.id, now);
                sent.put(member.id, shown);
                heardAt.put(member.id, now);
                member.seq++;
                store.write("servers", member.id, entry(member));
              }
              if (now - heardAt.getOrDefault(member.id, now) > 3 * HEARTBEAT_MILLIS
                  && store.contains("servers", member.id)) {
                members.event("entry lapsed " + member.id);
                store.remove("servers", member.id);
              }
            }
            sleep(20);
          }
        });
  }

  private ObjectNode entry(Members.Member member) {
    return Store.JSON
        .createObjectNode()
        .put("backend", members.service)
        .put("addr", "127.0.0.1:" + member.port)
        .put("zone", member.zone)
        .put("version", "v1")
        .put("slots", 3)
        .put("state", member.state)
        .put("coldLeftMs", 0)
        .put("dbRole", member.leads ? "primary" : "replica")
        .put("born", member.born)
        .put("seq", member.seq);
  }

  /** Writes a configuration with one route of each kind. */
  void configure(long version, long timeoutMillis, int synchronousReplicas) {
    ObjectNode spec = Store.JSON.createObjectNode().put("version", version);
    ArrayNode routes = spec.putArray("routes");
    for (String kind : List.of("primary", "bounded_staleness", "read_your_writes")) {
      routes
          .addObject()
          .put("name", "r-" + kind)
          .put("host", "db-" + kind)
          .put("kind", kind)
          .put("timeoutMs", timeoutMillis)
          .put("targetLatencyMs", 400)
          .put("priority", 1)
          .put("maxStalenessMs", 1_500)
          .put("backend", members.service);
    }
    spec.putArray("backends")
        .addObject()
        .put("name", members.service)
        .put("maxConns", members.maxConnections)
        .put("syncReplicas", synchronousReplicas);
    spec.putObject("limits").put("txIdleMs", 5_000);
    store.write("config", "main", spec);
  }

  /** Prepares the settings of a gateway as deploy/gateway-settings.json has them. */
  void addGateway(String name, String zone, Map<String, String> regions) throws IOException {
    int callers = freePort();
    int ready = freePort();
    callerPorts.put(name, callers);
    readyPorts.put(name, ready);
    int storePort = store.serve(name);
    ObjectNode node = Store.JSON.createObjectNode();
    node.put("host", name).put("failureDomain", zone);
    ObjectNode zones = node.putObject("regions");
    regions.forEach(zones::put);
    node.put("ip", "127.0.0.1").put("metricsPort", freePort());
    node.put("callers", "127.0.0.1:" + callers).put("readiness", "127.0.0.1:" + ready);
    node.put("peers", "127.0.0.1:" + freePort());
    node.putArray("seeds");
    node.put("store", "127.0.0.1:" + storePort).put("promotions", "127.0.0.1:" + storePort);
    node.put("shutdownSeconds", 6);
    settings.put(name, node);
  }

  /** Starts the gateways with the command of the deploy file. */
  void startGateways() throws IOException {
    for (ObjectNode own : settings.values()) {
      for (ObjectNode other : settings.values()) {
        ((ArrayNode) own.path("seeds")).add(other.path("peers").asText());
      }
    }
    for (String name : settings.keySet()) {
      startGateway(name);
    }
  }

  void startGateway(String name) throws IOException {
    Path file = temporary.resolve(name + ".json");
    Files.writeString(file, settings.get(name).toPrettyString());
    String command =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    command = command.substring(command.indexOf('"') + 1, command.lastIndexOf('"'));
    List<String> words = new ArrayList<>(List.of(command.split(" +")));
    words.replaceAll(w -> w.equals("/etc/sardinebay/local.toml") ? file.toString() : w);
    ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(new File(logFolder(), name + ".log")));
    gateways.put(name, builder.start());
  }

  File logFolder() {
    return temporary.toFile();
  }

  void awaitReady(long millis) throws IOException {
    HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    long end = System.currentTimeMillis() + millis;
    for (String name : gateways.keySet()) {
      while (!ready(http, name)) {
        if (System.currentTimeMillis() > end) {
          throw new IOException("gateway " + name + " is not ready");
        }
        sleep(100);
      }
    }
  }

  boolean ready(HttpClient http, String name) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create("http://127.0.0.1:" + readyPorts.get(name) + "/v1/ready"))
              .timeout(Duration.ofSeconds(1))
              .build();
      return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private final AtomicLong ids = new AtomicLong();

  /** A caller's session with a gateway. */
  final class Client implements AutoCloseable {
    final String name;
    final String gateway;
    private final String database;
    private Socket socket;
    private BufferedReader in;

    Client(String name, String gateway, String database) {
      this.name = name;
      this.gateway = gateway;
      this.database = database;
    }

    private void connect() throws IOException {
      socket = new Socket("127.0.0.1", callerPorts.get(gateway));
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(6_000);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      write("START " + database + " " + name);
      String answer = in.readLine();
      if (answer == null || !answer.startsWith("READY")) {
        throw new IOException("session refused: " + answer);
      }
    }

    private void write(String line) throws IOException {
      socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Sends one statement and returns what came of it. */
    Attempt run(String text) {
      String id = String.format("%016x", ids.incrementAndGet());
      long sentAt = System.currentTimeMillis();
      String outcome;
      String row = "";
      try {
        if (socket == null) {
          connect();
          sentAt = System.currentTimeMillis();
        }
        write("QUERY " + id + " " + text);
        outcome = "";
        for (String line = in.readLine(); ; line = in.readLine()) {
          if (line == null) {
            throw new IOException("closed");
          }
          if (line.startsWith("ROW ")) {
            row = line.substring(4);
          } else if (line.startsWith("DONE ")) {
            outcome = "DONE";
          } else if (line.startsWith("ERR ")) {
            outcome = line.split(" ", 3)[1];
          } else if (line.startsWith("READY ")) {
            break;
          }
        }
      } catch (IOException e) {
        outcome = "BROKEN";
        close();
      }
      Attempt attempt =
          new Attempt(
              name, gateway, id, brief(text), sentAt, System.currentTimeMillis(), outcome, row);
      synchronized (attempts) {
        attempts.add(attempt);
      }
      return attempt;
    }

    @Override
    public void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // Nothing is lost.
      }
      socket = null;
    }
  }

  void event(String text) {
    members.event(text);
  }

  /** The entries that a promotion rolled back don't count; see RULES.md, STALE. */
  List<String> staleReads(String database) {
    Map<String, Attempt> byId = new HashMap<>();
    synchronized (attempts) {
      attempts.forEach(a -> byId.put(a.id(), a));
    }
    List<Members.Run> runs;
    synchronized (members.runs) {
      runs = new ArrayList<>(members.runs);
    }
    List<Members.Run> commits =
        runs.stream().filter(r -> r.number() > 0 && !r.text().contains("READ ")).toList();
    List<String> stale = new ArrayList<>();
    for (Members.Run read : runs) {
      Attempt asked = byId.get(read.id());
      if (asked == null || !read.text().contains("READ ") || !read.outcome().equals("DONE")) {
        continue;
      }
      for (Members.Run commit : commits) {
        Attempt written = byId.get(commit.id());
        boolean acknowledged =
            written != null && written.outcome().equals("DONE") && written.endedAt() < asked.sentAt();
        boolean lacks =
            commit.term() > read.term()
                || (commit.term() == read.term() && commit.number() > read.number());
        if (acknowledged && lacks && !members.isRolledBack(commit.term(), commit.number())) {
          stale.add(
              "read " + read.id() + " by " + asked.gateway() + " sent " + (asked.sentAt() - startedAt)
                  + " ms ran at " + read.member() + " on log " + read.term() + "." + read.number()
                  + ", answered " + asked.outcome() + "; lacks commit " + commit.term() + "."
                  + commit.number() + " of " + written.gateway() + " at " + commit.member()
                  + " acknowledged at " + (written.endedAt() - startedAt) + " ms");
          break;
        }
      }
    }
    return stale;
  }

  /** Commits at a replaced primary after a promotion took effect, acknowledged to the client. */
  List<String> commitsAtReplacedPrimary() {
    Map<String, Attempt> byId = new HashMap<>();
    synchronized (attempts) {
      attempts.forEach(a -> byId.put(a.id(), a));
    }
    List<String> found = new ArrayList<>();
    synchronized (members.runs) {
      for (Members.Run run : members.runs) {
        Attempt asked = byId.get(run.id());
        boolean committed = run.number() > 0 && !run.text().contains("READ ");
        if (committed && asked != null && asked.outcome().equals("DONE")) {
          for (Members.Promotion promotion : members.promotions) {
            if (run.term() < promotion.term() && run.at() > promotion.at()) {
              found.add(
                  "write " + run.id() + " by " + asked.gateway() + " committed as " + run.term() + "."
                      + run.number() + " at " + run.member() + " " + (run.at() - promotion.at())
                      + " ms after " + promotion.member() + " led term " + promotion.term()
                      + ", acknowledged " + (asked.endedAt() - promotion.at()) + " ms after");
              break;
            }
          }
        }
      }
    }
    return found;
  }

  void writeRecord(List<String> verdict) throws IOException {
    try (PrintWriter out = new PrintWriter(folder.resolve("record.txt").toFile())) {
      verdict.forEach(out::println);
      out.println("== events (ms)");
      synchronized (members.events) {
        for (String event : members.events) {
          String[] parts = event.split(" ", 2);
          out.println((Long.parseLong(parts[0]) - startedAt) + " " + parts[1]);
        }
      }
      out.println("== sent and answered (sent ms, answered ms, gateway, client, id, text, outcome, row)");
      synchronized (attempts) {
        for (Attempt a : attempts) {
          out.println(
              (a.sentAt() - startedAt) + " " + (a.endedAt() - startedAt) + " " + a.gateway() + " "
                  + a.client() + " " + a.id() + " [" + a.text() + "] " + a.outcome() + " " + a.row());
        }
      }
      out.println("== run by members (ms, member, gateway, id, text, outcome, log position)");
      synchronized (members.runs) {
        for (Members.Run r : members.runs) {
          out.println(
              (r.at() - startedAt) + " " + r.member() + " " + r.who() + " " + r.id() + " [" + r.text()
                  + "] " + r.outcome() + " " + r.term() + "." + r.number());
        }
      }
    }
  }

  private void killAll() {
    for (Process process : gateways.values()) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() throws IOException {
    stopped = true;
    killAll();
    for (Process process : gateways.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    store.stop();
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.walk(temporary)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
      }
    } else {
      System.err.println("logs in " + temporary);
    }
  }
}
