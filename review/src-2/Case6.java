import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One region with the platform and two gateways is partitioned from the other, which holds the
 * primary, a replica and a gateway.
 */
final class Case6 {
  private static final int HELD = 0;

  /** The JVM itself exits with 1 if it can't start, so run.sh expects another status. */
  private static final int BROKEN = 3;

  private static final long WARM_UP_MILLIS = 6_000;
  private static final long CUT_MILLIS = 14_000;
  private static final long AFTER_MILLIS = 5_000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Members members = new Members("ledger-1", 21, 600);
    int exit = 2;
    try (World world = new World(Path.of(args[0]), Path.of(args[1]), members)) {
      members.add("i-north1", "north-hall", false);
      members.add("i-south1", "south-hall", true);
      members.add("i-south2", "south-hall", false);
      Map<String, String> regions = Map.of("north-hall", "north", "south-hall", "south");
      world.configure(3, 1_000, 0);
      world.startHeartbeats();
      world.addGateway("north-gw1", "north-hall", regions);
      world.addGateway("north-gw2", "north-hall", regions);
      world.addGateway("south-gw1", "south-hall", regions);
      world.startGateways();
      world.awaitReady(20_000);
      World.sleep(2_500);
      exit = run(world, members, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int run(World world, Members members, boolean trouble) throws Exception {
    Set<String> south = Set.of("i-south1", "i-south2", "south-gw1");
    volatileCut = false;
    members.reaches = (a, b) -> !volatileCut || south.contains(a) == south.contains(b);
    world.store.reachable = who -> !volatileCut || !south.contains(who);
    long end = System.currentTimeMillis() + WARM_UP_MILLIS + CUT_MILLIS + AFTER_MILLIS;
    List<Thread> clients = new ArrayList<>();
    for (String gateway : world.gateways.keySet()) {
      for (int i = 0; i < 3; i++) {
        clients.add(client(world, gateway, i, end));
      }
    }
    clients.forEach(Thread::start);
    World.sleep(WARM_UP_MILLIS);
    if (trouble) {
      world.event("cut begins");
      volatileCut = true;
      World.sleep(CUT_MILLIS);
      volatileCut = false;
      world.event("cut ends");
    }
    for (Thread client : clients) {
      client.join();
    }
    long served =
        world.attempts.stream().filter(a -> a.outcome().equals("DONE")).count();
    List<String> stale = world.staleReads("db-primary");
    List<String> replaced = world.commitsAtReplacedPrimary();
    List<String> verdict = new ArrayList<>();
    verdict.add("statements " + world.attempts.size() + ", served " + served);
    verdict.add("STALE: " + stale.size() + " reads on a primary route lacked an acknowledged commit");
    stale.stream().limit(20).forEach(line -> verdict.add("  " + line));
    verdict.add("ONE: " + replaced.size() + " writes acknowledged by the replaced primary");
    replaced.stream().limit(20).forEach(line -> verdict.add("  " + line));
    world.writeRecord(verdict);
    verdict.stream().limit(12).forEach(System.out::println);
    if (served < 200) {
      return 2;
    }
    return stale.isEmpty() ? HELD : BROKEN;
  }

  private static volatile boolean volatileCut;

  private static Thread client(World world, String gateway, int number, long end) {
    return World.daemon(
        () -> {
          try (World.Client client =
              world.new Client("c-" + gateway + "-" + number, gateway, "db-primary")) {
            for (int i = 0; System.currentTimeMillis() < end; i++) {
              client.run(
                  i % 2 == 0
                      ? "WRITE " + gateway + number + " v" + i
                      : "READ " + gateway + number);
              World.sleep(20);
            }
          }
        });
  }
}
