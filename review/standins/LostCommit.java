import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A replica leaves in a planned release and the other one receives nothing for a while. The primary
 * crashes meanwhile. Checks that acknowledged commits are in the log of the member that is promoted.
 */
public final class LostCommit {
  public static void main(String[] args) throws Exception {
    boolean trouble = Deployment.trouble();
    Deployment deployment =
        new Deployment(Path.of(args[0]), Path.of(args[1]), 1, 20, 600);
    try {
      deployment.start();
      run(deployment, trouble);
    } catch (Exception e) {
      deployment.record.line("could not run: " + e);
      deployment.end(2, "could not run");
    }
  }

  private static void run(Deployment deployment, boolean trouble) throws Exception {
    Members members = deployment.members;
    Members.Member primary = members.get("m-1");
    Members.Member leaving = members.get("m-2");
    Members.Member other = members.get("m-3");
    List<String> acknowledged = new ArrayList<>();
    Client client = deployment.client("c-1", "front-b", "strict");
    for (int i = 0; i < 5; i++) {
      write(client, "before-" + i, acknowledged);
    }
    Thread.sleep(300);
    if (!"0".equals(System.getenv("RELEASE"))) {
      members.drain(leaving);
    }
    if (trouble) {
      synchronized (members) {
        other.deaf = true;
      }
      deployment.record.line("member m-3 receives nothing from now on");
      Fleet.thread(
          () -> {
            Thread.sleep(6_500);
            synchronized (members) {
              other.deaf = false;
            }
            deployment.record.line("member m-3 receives again");
          });
    }
    for (int i = 0; i < 10; i++) {
      write(client, "during-" + i, acknowledged);
      Thread.sleep(50);
    }
    if (trouble) {
      members.crash(primary);
    }
    Members.Member leader = awaitLeader(members, trouble ? primary : null);
    if (leader == null) {
      deployment.end(trouble ? 0 : 2, "no member was promoted in 30 s; nothing acknowledged is lost");
    }
    List<String> missing = new ArrayList<>();
    synchronized (members) {
      for (String request : acknowledged) {
        if (leader.log.stream().noneMatch(entry -> entry.request().equals(request))) {
          missing.add(request);
        }
      }
      deployment.record.line("the primary is " + leader.id + ", its log stands at "
          + leader.position() + "; the log of m-2 stands at " + leaving.position());
    }
    if (missing.isEmpty()) {
      deployment.end(0, "LOST held: all " + acknowledged.size() + " acknowledged commits are there");
    }
    deployment.end(1, "LOST broken: acknowledged, and not in the log of the promoted member: "
        + missing);
  }

  private static void write(Client client, String id, List<String> acknowledged) {
    if (client.query(id, "WRITE item-" + id + " data").success()) {
      acknowledged.add(id);
    }
  }

  private static Members.Member awaitLeader(Members members, Members.Member former)
      throws InterruptedException {
    for (int i = 0; i < 300; i++) {
      synchronized (members) {
        for (String id : List.of("m-1", "m-2", "m-3")) {
          Members.Member member = members.get(id);
          if (member != former && member.running && member.leads) {
            return member;
          }
        }
      }
      Thread.sleep(100);
    }
    return null;
  }
}
