package org.sardinebay.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.sardinebay.Clock;
import org.sardinebay.net.AdminRoutes;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.http.Route;

/**
 * A running platform stand-in.
 *
 * <pre>{@code
 * PlatformServer platform = PlatformServer.start(settings, Clock.system());
 * }</pre>
 */
public final class PlatformServer implements RunningProcess {
  private static final int WORKERS = 2;

  private final PlatformService service;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private volatile JsonHttpServer server;

  private PlatformServer(PlatformService service) {
    this.service = service;
    registerCounter("platform.reads", PlatformCounters::reads);
    registerCounter("platform.writes", PlatformCounters::writes);
    registerCounter("platform.watches", PlatformCounters::watches);
    registerCounter("platform.refused", PlatformCounters::refused);
  }

  /**
   * Starts the stand-in.
   *
   * @param settings the settings
   * @param clock the clock for rate limits, watches and the host list
   * @return the running stand-in
   * @throws IOException if the address can't be bound
   */
  public static PlatformServer start(PlatformSettings settings, Clock clock) throws IOException {
    PlatformService service = new PlatformService(new PlatformState(settings, clock));
    PlatformServer running = new PlatformServer(service);
    List<Route> routes = new ArrayList<>(new ObjectRoutes(service).routes());
    routes.addAll(new FaultRoutes(service).routes());
    routes.addAll(AdminRoutes.of(running, running.registry));
    running.server = JsonHttpServer.start(settings.listen(), WORKERS, routes);
    return running;
  }

  /**
   * Replaces the simulated faults.
   *
   * @param faults the faults
   */
  public void changeFaults(PlatformFaults faults) {
    service.changeFaults(current -> faults);
  }

  /**
   * Returns the numbers of calls so far.
   *
   * @return the counters
   */
  public PlatformCounters counters() {
    return service.withState(PlatformState::counters);
  }

  @Override
  public JsonNode dump() {
    return service.withState(PlatformServer::describe);
  }

  @Override
  public boolean ready() {
    return server != null;
  }

  @Override
  public void shutdown() {
    server.stop();
    service.stop();
  }

  private static ObjectNode describe(PlatformState state) {
    ObjectNode tree = Json.newObject();
    tree.put("revision", state.revision());
    tree.put("waitingWatches", state.waitingWatches());
    tree.set("faults", FaultRoutes.write(state.faults()));
    tree.set("counters", FaultRoutes.write(state.counters()));
    return tree;
  }

  private void registerCounter(String name, ToDoubleFunction<PlatformCounters> value) {
    FunctionCounter.builder(name, this, running -> value.applyAsDouble(running.counters()))
        .register(registry);
  }
}
