package org.sardinebay.standins.driver;

import io.activej.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.net.http.HttpCallResult;
import org.sardinebay.net.http.JsonHttpClient;

/** Simulates the platform's load balancer: selects only proxies whose readiness check passes. */
final class LoadBalancer implements AutoCloseable {
  /** After this time a proxy that became unready is no longer selected. */
  static final long UNREADY_DETECTION_MILLIS = 500;

  private static final long POLL_MILLIS = 150;
  private static final long POLL_TIMEOUT_MILLIS = 300;
  private static final int OK = 200;

  private final Map<String, Address> proxies;
  private final List<String> names;
  private final JsonHttpClient http;
  private final Set<String> unready = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor();

  private LoadBalancer(Map<String, Address> proxies, JsonHttpClient http) {
    this.proxies = proxies;
    this.names = proxies.keySet().stream().sorted().toList();
    this.http = http;
  }

  static LoadBalancer start(Map<String, Address> proxies, JsonHttpClient http) {
    LoadBalancer balancer = new LoadBalancer(proxies, http);
    var unused =
        balancer.poller.scheduleWithFixedDelay(
            balancer::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
    return balancer;
  }

  /** Returns a random ready proxy, or any proxy if none is ready. */
  String choose(Random random) {
    List<String> ready = names.stream().filter(name -> !unready.contains(name)).toList();
    List<String> choices = ready.isEmpty() ? names : ready;
    return choices.get(random.nextInt(choices.size()));
  }

  /** Returns a random ready proxy other than the given one; falls back to {@link #choose}. */
  String chooseOther(Random random, String excluded) {
    List<String> others =
        names.stream().filter(name -> !unready.contains(name) && !name.equals(excluded)).toList();
    return others.isEmpty() ? choose(random) : others.get(random.nextInt(others.size()));
  }

  boolean isReady(String proxy) {
    return !unready.contains(proxy);
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }

  private void poll() {
    for (Map.Entry<String, Address> proxy : proxies.entrySet()) {
      var unused =
          http.call(
                  HttpMethod.GET, proxy.getValue(), "/ready", Optional.empty(), POLL_TIMEOUT_MILLIS)
              .thenAccept(result -> recordReadiness(proxy.getKey(), result));
    }
  }

  private void recordReadiness(String name, HttpCallResult result) {
    if (result instanceof HttpCallResult.Response response && response.status() == OK) {
      unready.remove(name);
    } else {
      unready.add(name);
    }
  }
}
