import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The settings file changes, with SIGHUP, while gateways start. */
final class Case10 {
  private static final long[] SIGNAL_AFTER_MILLIS = {100, 200, 300};
  private static final long WATCH_MILLIS = 3_000;

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
    List<String> verdict = new ArrayList<>();
    int ended = 0;
    int index = 0;
    for (String name : List.copyOf(world.gateways.keySet())) {
      Process old = world.gateways.get(name);
      old.destroy();
      old.waitFor();
      world.startGateway(name);
      Process process = world.gateways.get(name);
      long delay = SIGNAL_AFTER_MILLIS[index++];
      World.sleep(delay);
      if (trouble) {
        world.event("SIGHUP to " + name + " " + delay + " ms after its start");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
      }
      World.sleep(WATCH_MILLIS);
      boolean alive = process.isAlive();
      ended += alive ? 0 : 1;
      verdict.add(
          name + ": " + (alive ? "runs" : "ended by itself, exit status " + process.exitValue()));
    }
    world.writeRecord(verdict);
    verdict.forEach(System.out::println);
    return ended == 0 ? 0 : 1;
  }
}
