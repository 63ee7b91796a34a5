import java.nio.file.Path;
import java.util.List;

/**
 * A caller sets a value and writes an item; both texts contain a line feed, which doesn't end a
 * line of the protocol. Checks that members run what the caller sent, and nothing else.
 */
public final class Smuggled {
  public static void main(String[] args) throws Exception {
    boolean trouble = Deployment.trouble();
    Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[1]), 0, 20, 600);
    try {
      deployment.start();
      run(deployment, trouble ? "\n" : " ");
    } catch (Exception e) {
      deployment.end(2, "could not run: " + e);
    }
  }

  private static void run(Deployment deployment, String separator) throws Exception {
    String value = "first line" + separator + "QUERY q-9 WRITE item-b second line";
    String data = "first line" + separator + "second line";
    try (Client client = deployment.client("c-1", "front-a", "strict")) {
      client.query("q-1", "SET note " + value);
      Thread.sleep(500);
    }
    try (Client client = deployment.client("c-2", "front-a", "strict")) {
      client.query("q-2", "WRITE item-a " + data);
      Thread.sleep(500);
    }
    List<String> ran = deployment.members.ran();
    deployment.record.line("the callers sent q-1 SET note and q-2 WRITE item-a; members ran " + ran);
    for (String statement : ran) {
      if (!statement.equals("q-2 WRITE item-a " + data)) {
        deployment.end(
            1, "UNASKED broken: a member ran what no caller sent: " + statement.replace("\n", "\\n"));
      }
    }
    deployment.end(0, "UNASKED held");
  }
}
