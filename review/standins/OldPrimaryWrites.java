import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Callers that write all the time, and the check of the rule ONE on what they were told. */
final class OldPrimaryWrites {
  private static final long PAUSE_MILLIS = 20;
  private static final long READ_PAUSE_MILLIS = 30;

  private final Deployment deployment;
  private final List<String> acknowledged = new CopyOnWriteArrayList<>();
  private volatile boolean ended;

  OldPrimaryWrites(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Starts a caller that writes over one session at a time, with a pause after each write. */
  void start(String name, String gateway) {
    Fleet.thread(
        () -> {
          for (int i = 0; !ended; ) {
            try (Client client = deployment.client(name, gateway, "strict")) {
              Client.Answer answer = new Client.Answer(List.of(), "");
              while (!ended && !answer.outcome().equals("cut")) {
                String id = name + "-" + i++;
                answer = client.query(id, "WRITE item-" + name + " " + id);
                if (answer.success()) {
                  acknowledged.add(id);
                }
                Thread.sleep(PAUSE_MILLIS);
              }
            } catch (java.io.IOException e) {
              Thread.sleep(200);
            }
          }
        });
  }

  /** Starts callers that read, each over one session. */
  void startReaders(String name, String gateway, int count) {
    for (int k = 0; k < count; k++) {
      String reader = name + k;
      Fleet.thread(
          () -> {
            for (int i = 0; !ended; ) {
              try (Client client = deployment.client(reader, gateway, "aged")) {
                Client.Answer answer = new Client.Answer(List.of(), "");
                while (!ended && !answer.outcome().equals("cut")) {
                  answer = client.query(reader + "-" + i++, "READ item-" + reader);
                  Thread.sleep(READ_PAUSE_MILLIS);
                }
              } catch (java.io.IOException e) {
                Thread.sleep(200);
              }
            }
          });
    }
  }

  /** Checks the rule and ends the deployment. */
  void end() throws Exception {
    ended = true;
    Thread.sleep(1_500);
    List<String> broken = deployment.members.commitsAtFormerPrimaries(acknowledged);
    deployment.record.line(acknowledged.size() + " writes were acknowledged");
    if (acknowledged.size() < 50) {
      deployment.end(2, "could not run: too few writes");
    }
    if (broken.isEmpty()) {
      deployment.end(0, "ONE held: no acknowledged write was committed at a former primary");
    }
    deployment.end(
        1, "ONE broken: committed at a former primary after a promotion, and acknowledged: " + broken);
  }
}
