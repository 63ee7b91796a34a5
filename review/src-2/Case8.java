import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Callers prepare a new shape for each statement and drop it again, as ORMs with literals do. */
final class Case8 {
  private static final int HELD = 0;

  /** The JVM itself exits with 1 if it can't start, so run.sh expects another status. */
  private static final int BROKEN = 3;

  private static final int SESSIONS = 16;
  private static final int SHAPE_BYTES = 12_000;
  private static final int DISTINCT_SHAPES_CALM = 50;
  private static final long LOAD_MILLIS = 40_000;
  private static final long PROBE_MILLIS = 6_000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Members members = new Members("ledger-1", 28, 300);
    int exit = 2;
    try (World world = new World(Path.of(args[0]), Path.of(args[1]), members)) {
      members.add("i-1", "a-hall", true);
      members.add("i-2", "b-hall", false);
      members.add("i-3", "c-hall", false);
      members.workMillis = 3;
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
    AtomicLong shapes = new AtomicLong();
    AtomicLong failures = new AtomicLong();
    long end = System.currentTimeMillis() + LOAD_MILLIS;
    int probes = 0;
    int answered = 1;
    while (System.currentTimeMillis() < end && answered > 0) {
      load(world, trouble, shapes, failures, end);
      World.sleep(2_000);
      long until = System.currentTimeMillis() + PROBE_MILLIS;
      probes = 0;
      answered = 0;
      while (System.currentTimeMillis() < until) {
        try (World.Client client = world.new Client("probe" + probes, "gw1", "db-primary")) {
          probes++;
          answered += client.run("READ k1").outcome().equals("DONE") ? 1 : 0;
        }
        World.sleep(300);
      }
      world.event(shapes + " shapes, then " + answered + " of " + probes + " probes answered");
    }
    List<String> verdict = new ArrayList<>();
    verdict.add("statements prepared " + shapes + ", failed " + failures);
    verdict.add(
        "after the callers had left: " + probes + " sessions with a small read, " + answered
            + " answered; process alive " + world.gateways.get("gw1").isAlive());
    world.writeRecord(verdict);
    verdict.forEach(System.out::println);
    if (shapes.get() < 1_000) {
      return 2;
    }
    return answered == 0 ? BROKEN : HELD;
  }

  /** Runs the callers until statements stay without success, or the time is over. */
  private static void load(
      World world, boolean trouble, AtomicLong shapes, AtomicLong failures, long end)
      throws InterruptedException {
    String filler = "q".repeat(SHAPE_BYTES);
    long enough = failures.get() + 20;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      int number = i;
      clients.add(
          World.daemon(
              () -> {
                while (System.currentTimeMillis() < end && failures.get() < enough) {
                  try (World.Client client =
                      world.new Client("c" + number, "gw1", "db-primary")) {
                    for (int k = 0; k < 50 && failures.get() < enough; k++) {
                      long shape = shapes.incrementAndGet();
                      long name = trouble ? shape : shape % DISTINCT_SHAPES_CALM;
                      client.run("PREPARE s1 READ " + name + "." + filler);
                      if (!client.run("EXEC s1 k" + number).outcome().equals("DONE")) {
                        failures.incrementAndGet();
                      }
                      client.run("DEALLOC s1");
                    }
                  }
                }
              }));
    }
    clients.forEach(Thread::start);
    for (Thread client : clients) {
      client.join(30_000);
    }
  }
}
