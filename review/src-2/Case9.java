import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Settings change, with SIGHUP, while gateways start. */
final class Case9 {
  private static final int HELD = 0;

  /** The JVM itself exits with 1 if it can't start, so run.sh expects another status. */
  private static final int BROKEN = 3;

  private static final int ENDS = 3;
  private static final long SIGNAL_AFTER_MILLIS = 100;
  private static final long WATCH_MILLIS = 2_000;
  private static final long RESTART_DELAY_MILLIS = 500;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Members members = new Members("ledger-1", 28, 600);
    int exit = 2;
    try (World world = new World(Path.of(args[0]), Path.of(args[1]), members)) {
      members.add("i-1", "a-hall", true);
      members.add("i-2", "b-hall", false);
      members.add("i-3", "c-hall", false);
      Map<String, String> regions = Map.of("a-hall", "a", "b-hall", "b", "c-hall", "c");
      world.configure(3, 1_000, 0);
      world.startHeartbeats();
      for (String zone : List.of("a", "b", "c")) {
        world.addGateway("gw-" + zone, zone + "-hall", regions);
      }
      world.startGateways();
      world.awaitReady(20_000);
      exit = run(world, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int run(World world, boolean trouble) throws Exception {
    Map<String, Integer> ends = new LinkedHashMap<>();
    List<String> verdict = new ArrayList<>();
    for (String name : List.of("gw-a", "gw-b")) {
      Process old = world.gateways.get(name);
      world.event("SIGTERM to " + name);
      old.destroy();
      old.waitFor();
      World.sleep(RESTART_DELAY_MILLIS);
      for (int i = 0; i < ENDS; i++) {
        world.startGateway(name);
        world.event("started " + name);
        Process process = world.gateways.get(name);
        World.sleep(SIGNAL_AFTER_MILLIS);
        if (trouble) {
          world.event("SIGHUP to " + name);
          new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        }
        World.sleep(WATCH_MILLIS);
        if (process.isAlive()) {
          verdict.add(name + " runs");
          break;
        }
        world.event(name + " has ended by itself, exit status " + process.exitValue());
        verdict.add(name + " ended by itself, exit status " + process.exitValue());
        ends.merge(name, 1, Integer::sum);
        World.sleep(RESTART_DELAY_MILLIS);
      }
    }
    long machines = ends.values().stream().filter(count -> count >= ENDS).count();
    verdict.add(machines + " of 3 gateways ended by themselves three times");
    world.writeRecord(verdict);
    verdict.forEach(System.out::println);
    return machines >= 2 ? BROKEN : HELD;
  }
}
