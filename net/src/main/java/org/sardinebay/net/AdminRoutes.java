package org.sardinebay.net;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.Route;

/**
 * The HTTP routes that every process serves: {@code /health}, {@code /ready}, {@code /metrics} and
 * {@code /dump}.
 *
 * <pre>{@code
 * List<Route> routes = AdminRoutes.of(process, registry);
 * }</pre>
 */
public final class AdminRoutes {
  private static final int UNAVAILABLE = 503;

  private AdminRoutes() {}

  /**
   * Builds the routes.
   *
   * @param process the running process
   * @param registry its metrics
   * @return the routes
   */
  public static List<Route> of(RunningProcess process, PrometheusMeterRegistry registry) {
    return of(process, registry, () -> {});
  }

  /**
   * Builds the routes of a process that computes some metrics only when they are read.
   *
   * @param process the running process
   * @param registry its metrics
   * @param beforeScrape refreshes the metrics; runs on the server's thread
   * @return the routes
   */
  public static List<Route> of(
      RunningProcess process, PrometheusMeterRegistry registry, Runnable beforeScrape) {
    return List.of(
        Route.get(
            "/health",
            request ->
                done(HttpServerResponse.json(HttpServerResponse.OK, state("healthy", true)))),
        Route.get("/ready", request -> done(ready(process))),
        Route.get(
            "/metrics",
            request -> {
              beforeScrape.run();
              return done(HttpServerResponse.plain(HttpServerResponse.OK, registry.scrape()));
            }),
        Route.get(
            "/dump",
            request -> done(HttpServerResponse.json(HttpServerResponse.OK, process.dump()))));
  }

  private static HttpServerResponse ready(RunningProcess process) {
    boolean ready = process.ready();
    return HttpServerResponse.json(
        ready ? HttpServerResponse.OK : UNAVAILABLE, state("ready", ready));
  }

  private static ObjectNode state(String name, boolean value) {
    return Json.newObject().put(name, value);
  }

  private static CompletableFuture<HttpServerResponse> done(HttpServerResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}
