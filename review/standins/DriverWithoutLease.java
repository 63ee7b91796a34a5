import java.nio.file.Path;
import java.util.List;

/**
 * A primary goes dark. The store turns the gateway that drives the change away, and another one
 * takes the change over. The old primary returns while the promotion takes effect. Checks that no
 * write is committed at it, and acknowledged, after that.
 */
public final class DriverWithoutLease {
  private static final long TURNED_AWAY_MILLIS = 5_500;
  private static final long LONGEST_DARK_MILLIS = 7_000;

  /** As the mean of contract-billing on brazos-pumpcare, in milliseconds. */
  private static final long WORK_MILLIS = 24;

  public static void main(String[] args) throws Exception {
    boolean trouble = Deployment.trouble();
    Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[1]), 0, 20, 600);
    try {
      deployment.start();
      run(deployment, trouble);
    } catch (Exception e) {
      deployment.end(2, "could not run: " + e);
    }
  }

  private static void run(Deployment deployment, boolean trouble) throws Exception {
    Members members = deployment.members;
    Members.Member primary = members.get("m-1");
    boolean[] done = new boolean[2];
    members.onControl =
        (member, gateway, text) -> {
          if (trouble && text.startsWith("PAUSE") && !done[0]) {
            done[0] = true;
            deployment.store.turnAway(gateway, true);
            members.excused.add(gateway);
            Fleet.thread(
                () -> {
                  Thread.sleep(TURNED_AWAY_MILLIS);
                  deployment.store.turnAway(gateway, false);
                });
          }
        };
    members.onPromote =
        (gateway, member) ->
            Fleet.thread(
                () -> {
                  if (!done[1]) {
                    done[1] = true;
                    members.startAgain(primary);
                  }
                });
    members.workMillis = WORK_MILLIS;
    OldPrimaryWrites writes = new OldPrimaryWrites(deployment);
    for (String gateway : List.of("front-a", "front-b", "front-c")) {
      writes.start("c-" + gateway, gateway);
      writes.startReaders("r-" + gateway, gateway, 10);
    }
    Thread.sleep(1_000);
    members.darken(primary);
    Thread.sleep(LONGEST_DARK_MILLIS);
    if (!done[1]) {
      done[1] = true;
      members.startAgain(primary);
    }
    Thread.sleep(3_000);
    writes.end();
  }
}
