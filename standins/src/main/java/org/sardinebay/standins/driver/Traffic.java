package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.http.JsonHttpClient;

/**
 * Runs concurrent caller sessions against a deployment and records their history.
 *
 * <pre>{@code
 * try (Traffic traffic = Traffic.start(deployment, Workload.PROOF, 24, seed, clock)) {
 *   ...
 *   traffic.stop();
 * }
 * }</pre>
 */
final class Traffic implements AutoCloseable {
  private static final int HTTP_EVENT_LOOPS = 2;
  private static final int SEED_STEP = 7_919;

  private final History history = new History();
  private final JsonHttpClient http = JsonHttpClient.start("callers", HTTP_EVENT_LOOPS);
  private final List<CallerSession> sessions = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final ListNames listNames = new ListNames();
  private final LoadBalancer balancer;
  private final OpenTransactions openTransactions;

  private Traffic(Map<String, Address> proxies, List<String> databases, long seed, Clock clock) {
    this.balancer = LoadBalancer.start(proxies, http);
    this.openTransactions =
        new OpenTransactions(
            databases,
            session -> new CallerClient(session, proxies, http, clock),
            listNames,
            history,
            new Random(seed));
  }

  static Traffic start(
      Deployment deployment, Workload workload, int callers, long seed, Clock clock) {
    Map<String, Address> proxies = proxies(deployment.topology());
    List<String> databases =
        deployment.spec().databases().stream().map(DeploymentSpec.Database::id).toList();
    Traffic traffic = new Traffic(proxies, databases, seed, clock);
    for (int i = 0; i < callers; i++) {
      String name = deployment.spec().callerPrefix() + i;
      CallerSession session =
          new CallerSession(
              name,
              databases,
              workload,
              new CallerClient(name, proxies, traffic.http, clock),
              traffic.balancer,
              traffic.listNames,
              traffic.history,
              new Random(seed * SEED_STEP + i));
      traffic.sessions.add(session);
      Thread thread = new Thread(session, name);
      thread.setDaemon(true);
      thread.start();
      traffic.threads.add(thread);
    }
    return traffic;
  }

  static Map<String, Address> proxies(Topology topology) {
    Map<String, Address> proxies = new HashMap<>();
    for (Node proxy : topology.nodes(ProcessKind.PROXY)) {
      proxies.put(proxy.name(), topology.translate(Topology.CALLERS, proxy.listen()));
    }
    return Map.copyOf(proxies);
  }

  History history() {
    return history;
  }

  OpenTransactions openTransactions() {
    return openTransactions;
  }

  /** Stops all sessions after their current operation and waits for their threads to end. */
  void stop() {
    sessions.forEach(CallerSession::stop);
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  @Override
  public void close() {
    sessions.forEach(CallerSession::stop);
    balancer.close();
    http.stop();
  }
}
