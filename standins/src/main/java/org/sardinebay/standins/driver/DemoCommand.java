package org.sardinebay.standins.driver;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.ProgramRunner;
import org.sardinebay.net.http.JsonHttpClient;

/** Demonstrates a session that switches between proxies and continues after a primary is killed. */
final class DemoCommand implements Command {
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final long RETRY_MILLIS = 200;
  private static final int MAX_TRIES = 60;
  private static final int WRITES = 5;
  private static final String KEY = "demo";

  private final Clock clock = Clock.system();

  @Override
  public String summary() {
    return "starts a deployment, kills a primary and shows that a session continues";
  }

  @Override
  public int run(Options options, PrintStream out) throws IOException, InterruptedException {
    DeploymentSpec spec = DeploymentSpec.load(options.deploymentFile());
    Path folder = options.runFolder();
    out.println("starting " + spec.name() + ", settings and logs in " + folder);
    try (Deployment deployment =
        Deployment.start(spec, folder, options.policy(), JvmMode.FAST_START)) {
      out.println("running: " + deployment.processes().size() + " processes");
      showSession(deployment, out);
      showStatus(deployment);
      if (options.keep()) {
        keepRunning(deployment, out);
      }
    }
    out.println("demo ok");
    return ProgramRunner.EXIT_OK;
  }

  private void showSession(Deployment deployment, PrintStream out)
      throws IOException, InterruptedException {
    String database = deployment.spec().databases().get(0).id();
    Map<String, Address> proxies = Traffic.proxies(deployment.topology());
    List<String> names = proxies.keySet().stream().sorted().toList();
    JsonHttpClient http = JsonHttpClient.start("demo", 1);
    try {
      String caller = deployment.spec().callerPrefix() + KEY;
      CallerClient client = new CallerClient(caller, proxies, http, clock);
      List<String> written = new ArrayList<>();
      for (int i = 0; i < WRITES; i++) {
        written.add(write(client, names.get(i % names.size()), database, i, out));
      }
      readAndVerify(client, names.get(names.size() - 1), database, written, out);
      String primary =
          deployment.primary(database).orElseThrow(() -> new IOException("no primary"));
      out.println("killing " + primary + ", the primary of " + database);
      deployment.process(primary).kill();
      for (int i = 0; i < WRITES; i++) {
        written.add(write(client, names.get(i % names.size()), database, WRITES + i, out));
      }
      for (String proxy : names) {
        readAndVerify(client, proxy, database, written, out);
      }
      out.println("starting " + primary + " again");
      deployment.process(primary).start();
      deployment.awaitHealthy(deployment.topology().node(primary), TIMEOUT_MILLIS);
    } finally {
      http.stop();
    }
  }

  private String write(
      CallerClient client, String proxy, String database, int number, PrintStream out)
      throws IOException, InterruptedException {
    String value = Keys.value(KEY, "session", number);
    long startMillis = clock.millis();
    CallRequest request = CallRequest.append(database, KEY, value, false, "key-" + value);
    Attempt attempt = callUntilDone(client, proxy, request);
    out.printf(
        "write %s at %s: done by %s at term %d after %d ms%n",
        value,
        proxy,
        attempt.answer().servedBy().member(),
        attempt.answer().position().orElseThrow().term(),
        clock.millis() - startMillis);
    return value;
  }

  private void readAndVerify(
      CallerClient client, String proxy, String database, List<String> written, PrintStream out)
      throws IOException, InterruptedException {
    CallRequest request = CallRequest.read(database, KEY, OptionalLong.empty());
    Attempt attempt = callUntilDone(client, proxy, request);
    Attempt.ServedBy servedBy = attempt.answer().servedBy();
    out.printf(
        "read at %s: %d of %d writes, served by %s (%s, %s)%n",
        proxy,
        attempt.answer().rows().size(),
        written.size(),
        servedBy.member(),
        servedBy.role(),
        servedBy.reason());
    if (!attempt.answer().rows().equals(written)) {
      throw new IOException(
          "the session wrote " + written + " and read " + attempt.answer().rows());
    }
  }

  private static Attempt callUntilDone(CallerClient client, String proxy, CallRequest request)
      throws IOException, InterruptedException {
    Attempt attempt = client.call(proxy, request, TIMEOUT_MILLIS);
    for (int tries = 1; !attempt.isDone() && tries < MAX_TRIES; tries++) {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
      attempt = client.call(proxy, request, TIMEOUT_MILLIS);
    }
    if (!attempt.isDone()) {
      throw new IOException("a request was not done in " + MAX_TRIES + " tries: " + attempt);
    }
    return attempt;
  }

  /** Prints the database status by means of {@code sardinebayctl}. */
  private static void showStatus(Deployment deployment) throws IOException, InterruptedException {
    Address platform = deployment.topology().node(Topology.PLATFORM).listen();
    for (DeploymentSpec.Database database : deployment.spec().databases()) {
      int status =
          CtlRunner.run(
              List.of("--platform", platform.toString(), "status", "databases", database.id()));
      if (status != ProgramRunner.EXIT_OK) {
        throw new IOException("sardinebayctl status ended with exit status " + status);
      }
    }
  }

  private static void keepRunning(Deployment deployment, PrintStream out)
      throws InterruptedException {
    String database = deployment.spec().databases().get(0).id();
    out.println("left running; Ctrl-C stops all. Try:");
    for (Node node : deployment.topology().nodes()) {
      out.printf("  curl http://%s/dump   # %s%n", node.listen(), node.name());
    }
    Node proxy = deployment.topology().nodes(ProcessKind.PROXY).get(0);
    out.printf(
        "  curl -d '{\"caller\":\"me\",\"database\":\"%s\",\"kind\":\"read\","
            + "\"statement\":\"get %s\"}' http://%s/v1/requests%n",
        database, KEY, proxy.listen());
    new CountDownLatch(1).await();
  }
}
