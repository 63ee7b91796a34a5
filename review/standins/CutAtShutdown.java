import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of three gateways of one zone are stopped in turn. As fewer than half of the zone's gateways
 * are ready then, the balancer sends new connections to all three again. Checks that a statement
 * that a stopping gateway has read and passed on to a member gets a complete answer.
 */
public final class CutAtShutdown {
  /** The time between two stops in turn, in milliseconds. */
  private static final long GAP_MILLIS = 1_300;

  private static final long READ_MILLIS = 40;
  private static final int CALLERS = 16;
  private static final long PAUSE_MILLIS = 60;
  private static final long PROBE_MILLIS = 1_000;

  /** How long before the stops nothing is disrupted, in milliseconds. */
  private static final long STABLE_MILLIS = 4_000;

  private static final long GRACE_MILLIS = Deployment.GRACE_SECONDS * 1_000L;

  private record Cut(String id, long atMillis, long tookMillis) {}

  private final Deployment deployment;
  private final List<Fleet.Gateway> zone = new ArrayList<>();
  private final int[] missed = new int[3];
  private final List<Cut> cuts = new CopyOnWriteArrayList<>();
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private volatile boolean ended;
  private volatile long firstStopAt;

  private CutAtShutdown(Deployment deployment) {
    this.deployment = deployment;
    zone.addAll(deployment.fleet.gateways.values());
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = Deployment.trouble();
    Deployment deployment =
        new Deployment(Path.of(args[0]), Path.of(args[1]), 0, 20, 600, "hall-a", "hall-a", "hall-a");
    try {
      deployment.start();
      new CutAtShutdown(deployment).run(trouble);
    } catch (Exception e) {
      deployment.end(2, "could not run: " + e);
    }
  }

  private void run(boolean trouble) throws Exception {
    deployment.members.workMillis = READ_MILLIS;
    for (int i = 0; i < zone.size(); i++) {
      int index = i;
      Fleet.thread(() -> probe(index));
    }
    for (int i = 0; i < CALLERS; i++) {
      int caller = i;
      Fleet.thread(() -> call(caller));
    }
    Thread.sleep(STABLE_MILLIS);
    firstStopAt = now();
    if (trouble) {
      deployment.fleet.signal(zone.get(0), "TERM");
    }
    Thread.sleep(GAP_MILLIS);
    if (trouble) {
      deployment.fleet.signal(zone.get(1), "TERM");
    }
    Thread.sleep(GRACE_MILLIS + 1_000 - GAP_MILLIS);
    ended = true;
    Thread.sleep(500);
    List<String> lost = new ArrayList<>();
    for (Cut cut : cuts) {
      boolean ran = deployment.members.ran().stream().anyMatch(s -> s.startsWith(cut.id() + " "));
      if (ran) {
        lost.add(cut.id() + " (" + cut.atMillis() + " ms after the first SIGTERM, "
            + cut.tookMillis() + " ms after it was sent)");
      }
    }
    deployment.record.line(answered.get() + " reads were answered, " + cuts.size()
        + " connections ended without an answer");
    if (answered.get() < 200) {
      deployment.end(2, "could not run: too few reads");
    }
    if (lost.isEmpty()) {
      deployment.end(0, "LOST held: each read that a member ran was answered");
    }
    deployment.end(1, "LOST broken: passed on to a member, and not answered: " + lost);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** The platform asks each gateway once a second whether it is ready. */
  private void probe(int index) throws InterruptedException {
    while (true) {
      missed[index] = deployment.fleet.ready(zone.get(index)) ? 0 : missed[index] + 1;
      Thread.sleep(PROBE_MILLIS);
    }
  }

  /**
   * The gateways that get new connections: those that missed fewer than two probes, or all if these
   * are fewer than half of the zone.
   */
  private List<Fleet.Gateway> rotation() {
    List<Fleet.Gateway> inRotation = new ArrayList<>();
    for (int i = 0; i < zone.size(); i++) {
      if (missed[i] < 2) {
        inRotation.add(zone.get(i));
      }
    }
    return 2 * inRotation.size() < zone.size() ? zone : inRotation;
  }

  /** A caller whose sessions serve one read each. */
  private void call(int caller) throws InterruptedException {
    while (!ended) {
      List<Fleet.Gateway> targets = rotation();
      Fleet.Gateway gateway = targets.get((caller + numbers.get()) % targets.size());
      String id = "read-" + caller + "-" + numbers.incrementAndGet();
      try (Client client = deployment.client("c-" + caller, gateway.name, "aged")) {
        long sentAt = now();
        Client.Answer answer = client.query(id, "READ item-a");
        if (answer.success()) {
          answered.incrementAndGet();
        } else if (answer.outcome().equals("cut")) {
          cuts.add(new Cut(id, now() - firstStopAt, now() - sentAt));
        }
      } catch (IOException e) {
        // The gateway takes no connection any more.
      }
      Thread.sleep(PAUSE_MILLIS);
    }
  }
}
