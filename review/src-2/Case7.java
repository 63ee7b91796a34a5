import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** Callers with the longest messages that the protocol allows come at once. */
final class Case7 {
  private static final int HELD = 0;

  /** The JVM itself exits with 1 if it can't start, so run.sh expects another status. */
  private static final int BROKEN = 3;

  private static final int SESSIONS = 212;
  private static final int DATA_BYTES = 1_040_000;
  private static final int ROUNDS = 2;
  private static final long ROUND_MILLIS = 3_000;
  private static final long CALM_GAP_MILLIS = 50;
  private static final long PROBE_MILLIS = 12_000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Members members = new Members("ledger-1", 28, 300);
    int exit = 2;
    try (World world = new World(Path.of(args[0]), Path.of(args[1]), members)) {
      members.add("i-1", "a-hall", true);
      members.add("i-2", "b-hall", false);
      members.add("i-3", "c-hall", false);
      members.workMillis = 5;
      Map<String, String> regions = Map.of("a-hall", "a", "b-hall", "b", "c-hall", "c");
      world.configure(3, 1_000, 0);
      world.startHeartbeats();
      world.addGateway("gw1", "a-hall", regions);
      world.startGateways();
      world.awaitReady(20_000);
      World.sleep(2_500);
      exit = run(world, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int run(World world, boolean trouble) throws Exception {
    String data = "x".repeat(DATA_BYTES);
    CountDownLatch connected = new CountDownLatch(SESSIONS);
    CountDownLatch go = new CountDownLatch(1);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      int number = i;
      clients.add(
          World.daemon(
              () -> {
                try (World.Client client = world.new Client("c" + number, "gw1", "db-primary")) {
                  client.run("READ k" + number);
                  connected.countDown();
                  go.await();
                  for (int round = 0; round < ROUNDS; round++) {
                    World.sleep(trouble ? 0 : number * CALM_GAP_MILLIS);
                    client.run("WRITE k" + number + " " + data);
                    World.sleep(ROUND_MILLIS);
                  }
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }));
    }
    clients.forEach(Thread::start);
    connected.await();
    World.sleep(1_000);
    world.event("callers begin");
    go.countDown();
    for (Thread client : clients) {
      client.join(40_000);
    }
    world.event("callers gone");
    World.sleep(3_000);
    HttpClient http = HttpClient.newHttpClient();
    long end = System.currentTimeMillis() + PROBE_MILLIS;
    int probes = 0;
    int answered = 0;
    int ready = 0;
    while (System.currentTimeMillis() < end) {
      try (World.Client client = world.new Client("probe" + probes, "gw1", "db-primary")) {
        probes++;
        answered += client.run("READ k1").outcome().equals("DONE") ? 1 : 0;
      }
      ready += world.ready(http, "gw1") ? 1 : 0;
      World.sleep(500);
    }
    long large = world.attempts.stream().filter(a -> a.text().startsWith("WRITE")).count();
    long broken =
        world.attempts.stream()
            .filter(a -> a.text().startsWith("WRITE") && a.outcome().equals("BROKEN"))
            .count();
    long first = world.attempts.stream().filter(a -> a.outcome().equals("DONE")).count();
    List<String> verdict = new ArrayList<>();
    verdict.add("large writes " + large + ", without an answer " + broken);
    verdict.add(
        "after the callers had left: " + probes + " sessions with a small read, " + answered
            + " answered; readiness answered 200 " + ready + " times; process alive "
            + world.gateways.get("gw1").isAlive());
    world.writeRecord(verdict);
    verdict.forEach(System.out::println);
    if (first < SESSIONS) {
      return 2;
    }
    return answered == 0 ? BROKEN : HELD;
  }
}
