import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Gateways as processes of their own, started with the command of the deploy file. */
final class Fleet {
  /** A task that may fail; its failure ends only its thread. */
  interface Task {
    void run() throws Exception;
  }

  /** One gateway. */
  static final class Gateway {
    String name;
    int callers;
    int readiness;
    int peers;
    int metrics;
    int storePort;
    Path settings;
    Path log;
    Process process;
  }

  private static final Set<Integer> USED_PORTS = new HashSet<>();
  private static final int LIMIT_SECONDS = 110;
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 31_000;

  private final Path root;
  private final Path temporary;
  private final Record record;
  final Map<String, Gateway> gateways = new LinkedHashMap<>();

  Fleet(Path root, Record record) throws IOException {
    this.root = root;
    this.record = record;
    this.temporary = Files.createTempDirectory("review-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    thread(
        () -> {
          Thread.sleep(LIMIT_SECONDS * 1_000L);
          record.line("the time limit is over");
          System.exit(2);
        });
  }

  static void thread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The socket or the task has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Returns a free port below the range from which the system takes the ports of outgoing
   * connections.
   */
  static synchronized int freePort() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (USED_PORTS.add(port)) {
          return port;
        }
      } catch (IOException e) {
        // The port is in use.
      }
    }
    throw new IOException("no free port");
  }

  /** Creates a gateway's settings; its seeds are the gateways created before. */
  Gateway create(String name, String zone, Store store, int graceSeconds) throws IOException {
    Gateway gateway = new Gateway();
    gateway.name = name;
    gateway.callers = freePort();
    gateway.readiness = freePort();
    gateway.peers = freePort();
    gateway.metrics = freePort();
    gateway.storePort = store.open(name);
    List<Object> seeds = new ArrayList<>();
    gateways.values().forEach(other -> seeds.add("127.0.0.1:" + other.peers));
    seeds.add("127.0.0.1:" + gateway.peers);
    Map<String, Object> settings =
        Json.map(
            "host", name, "failureDomain", zone,
            "regions", Json.map("hall-a", "north", "hall-b", "middle", "hall-c", "south"),
            "ip", "127.0.0.1", "metricsPort", (long) gateway.metrics,
            "callers", "127.0.0.1:" + gateway.callers,
            "readiness", "127.0.0.1:" + gateway.readiness,
            "peers", "127.0.0.1:" + gateway.peers, "seeds", seeds,
            "store", "127.0.0.1:" + gateway.storePort,
            "promotions", "127.0.0.1:" + gateway.storePort,
            "shutdownSeconds", (long) graceSeconds);
    gateway.settings = temporary.resolve(name + ".json");
    gateway.log = temporary.resolve(name + ".log");
    Files.writeString(gateway.settings, Json.write(settings));
    gateways.put(name, gateway);
    return gateway;
  }

  /** Starts a gateway with the command of the deploy file. */
  void start(Gateway gateway) throws IOException {
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .map(line -> line.substring("run = \"".length(), line.length() - 1))
            .findFirst()
            .orElseThrow();
    List<String> words = new ArrayList<>();
    for (String word : run.split(" ")) {
      words.add(word.equals("/etc/sardinebay/local.toml") ? gateway.settings.toString() : word);
    }
    gateway.process =
        new ProcessBuilder(words)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(gateway.log.toFile()))
            .start();
    record.line("gateway " + gateway.name + " starts");
  }

  boolean ready(Gateway gateway) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + gateway.readiness + "/v1/ready")
                  .toURL()
                  .openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() throws InterruptedException {
    for (Gateway gateway : gateways.values()) {
      for (int i = 0; !ready(gateway); i++) {
        if (i > 300 || !gateway.process.isAlive()) {
          record.line("gateway " + gateway.name + " does not become ready");
          System.exit(2);
        }
        Thread.sleep(100);
      }
      record.line("gateway " + gateway.name + " is ready");
    }
  }

  void signal(Gateway gateway, String signal) throws IOException, InterruptedException {
    record.line("signal " + signal + " to gateway " + gateway.name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(gateway.process.pid()))
        .inheritIO()
        .start()
        .waitFor();
  }

  /** Adds the chosen log lines of the gateways to the record. */
  void recordLogs(String pattern) throws IOException {
    for (Gateway gateway : gateways.values()) {
      for (String line : Files.readAllLines(gateway.log)) {
        if (line.matches(pattern)) {
          record.line("log of " + gateway.name + ": " + line);
        }
      }
    }
  }

  /** Ends all processes that were started. */
  void stop() {
    for (Gateway gateway : gateways.values()) {
      if (gateway.process != null) {
        gateway.process.destroyForcibly();
      }
    }
    try {
      for (Gateway gateway : gateways.values()) {
        if (gateway.process != null) {
          gateway.process.waitFor(5, TimeUnit.SECONDS);
        }
        Files.deleteIfExists(gateway.settings);
        Files.deleteIfExists(gateway.log);
      }
      Files.deleteIfExists(temporary);
    } catch (IOException | InterruptedException e) {
      // The folder stays behind.
    }
  }
}
