import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A small deployment: three gateways, the store, and one service of three members. */
final class Deployment {
  static final int GRACE_SECONDS = 6;

  final Record record;
  final Store store;
  final Members members;
  final Fleet fleet;

  Deployment(Path root, Path recordFile, int syncReplicas, long lagMillis, long promoteMillis)
      throws IOException {
    this(root, recordFile, syncReplicas, lagMillis, promoteMillis, "hall-a", "hall-b", "hall-c");
  }

  Deployment(
      Path root,
      Path recordFile,
      int syncReplicas,
      long lagMillis,
      long promoteMillis,
      String... zones)
      throws IOException {
    record = new Record(recordFile);
    Members[] group = new Members[1];
    store =
        new Store(
            (gateway, member, holder, token) -> group[0].promote(gateway, member, holder, token),
            record);
    group[0] = new Members(store, record, syncReplicas, lagMillis, promoteMillis);
    members = group[0];
    fleet = new Fleet(root, record);
    configure(7, syncReplicas, 1_000, 2_000);
    members.add("m-1", "hall-a", true);
    members.add("m-2", "hall-b", false);
    members.add("m-3", "hall-c", false);
    fleet.create("front-a", zones[0], store, GRACE_SECONDS);
    fleet.create("front-b", zones[1], store, GRACE_SECONDS);
    fleet.create("front-c", zones[2], store, GRACE_SECONDS);
  }

  /** Writes the operator's configuration. */
  void configure(long version, int syncReplicas, long timeoutMillis, long boundedTimeoutMillis) {
    store.put(
        "config",
        "main",
        Json.map(
            "version", version,
            "routes",
                List.of(
                    route("strict", "primary", timeoutMillis),
                    route("own", "read_your_writes", timeoutMillis),
                    route("aged", "bounded_staleness", boundedTimeoutMillis)),
            "backends",
                List.of(
                    Json.map(
                        "name", Members.SERVICE, "healthPath", "/health", "maxConns", 21L,
                        "protocol", "h1", "tls", false, "syncReplicas", (long) syncReplicas)),
            "limits", Json.map("txIdleMs", 3_000L)));
  }

  private static Map<String, Object> route(String database, String kind, long timeoutMillis) {
    return Json.map(
        "name", "r-" + database, "host", database, "pathPrefix", "/", "kind", kind, "timeoutMs",
        timeoutMillis, "targetLatencyMs", 400L, "priority", 1L, "backend", Members.SERVICE,
        "maxAttempts", 2L, "maxStalenessMs", 2_500L);
  }

  void start() throws IOException, InterruptedException {
    for (Fleet.Gateway gateway : fleet.gateways.values()) {
      fleet.start(gateway);
    }
    fleet.awaitReady();
    Thread.sleep(2_000);
  }

  Client client(String name, String gateway, String database) throws IOException {
    return new Client(name, fleet.gateways.get(gateway).callers, database, record);
  }

  /** Ends all processes and this one. */
  void end(int status, String verdict) throws IOException {
    fleet.recordLogs(".*event=(primary_change|promotion_ordered|duty_held|shutdown|line_not).*");
    record.line(verdict);
    fleet.stop();
    System.exit(status);
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }
}
