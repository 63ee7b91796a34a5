import java.nio.file.Path;
import java.util.List;

/**
 * A primary is replaced as planned. The member that takes over is cut off from the gateway that
 * ordered the promotion, and from no other one. Checks that no write is committed at a former
 * primary, and acknowledged, after a promotion has taken effect.
 */
public final class UnseenTakeover {
  private static final long CUT_MILLIS = 5_000;

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
    boolean[] cut = new boolean[1];
    members.onPromote =
        (gateway, member) -> {
          if (trouble && !cut[0]) {
            cut[0] = true;
            members.cut(member, gateway, CUT_MILLIS);
          }
        };
    OldPrimaryWrites writes = new OldPrimaryWrites(deployment);
    for (String gateway : List.of("front-a", "front-b", "front-c")) {
      writes.start("c-" + gateway, gateway);
    }
    Thread.sleep(1_000);
    members.drain(members.get("m-1"));
    Thread.sleep(9_000);
    writes.end();
  }
}
