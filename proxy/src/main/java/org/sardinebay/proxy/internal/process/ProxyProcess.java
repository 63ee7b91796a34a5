package org.sardinebay.proxy.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinebay.Clock;
import org.sardinebay.internal.process.RetryBudget;
import org.sardinebay.internal.process.SessionTokenCodec;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.net.AdminRoutes;
import org.sardinebay.net.LoggingInvariantReporter;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.endpoint.HttpEndpointClient;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.http.Route;
import org.sardinebay.net.peer.ConfigFeedClient;
import org.sardinebay.net.peer.ConfigFeedServer;
import org.sardinebay.net.peer.ConfigStoreAdapter;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.net.peer.PeerServer;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.proxy.internal.connection.TransactionTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The running proxy: creates and connects its components, and shuts them down in order. */
final class ProxyProcess implements RunningProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ProxyProcess.class);
  private static final int HTTP_WORKERS = 2;
  private static final int ENDPOINT_WORKERS = 2;
  private static final long SWEEP_INTERVAL_MILLIS = 20;
  private static final long DRAIN_POLL_MILLIS = 20;

  /**
   * The maximum time in milliseconds that a shutdown waits for requests and transactions; longer
   * than the maximum duration of a transaction.
   */
  private static final long MAX_DRAIN_MILLIS = TransactionTable.MAX_AGE_MILLIS + 2_000;

  private final ProxySettings settings;
  private final ProxyRuntime runtime;
  private final DatabaseRegistry databaseRegistry;
  private final TransactionTable transactions;
  private final RequestService requests;
  private final ProxyDump dump;
  private final ConfigFeedClient feedClient;
  private final ConfigFeedServer feedServer;
  private volatile boolean stopping;

  private ProxyProcess(ProxySettings settings, ProxyRuntime runtime, PeerClient peers) {
    this.settings = settings;
    this.runtime = runtime;
    ConfigStore store = new ConfigStore();
    ConfigStoreAdapter storeAdapter = new ConfigStoreAdapter(store);
    this.databaseRegistry = new DatabaseRegistry(runtime, store);
    storeAdapter.onChange(databaseRegistry::refresh);
    this.transactions = new TransactionTable(runtime.clock());
    Supplier<String> idGenerator = () -> UUID.randomUUID().toString();
    RequestRunner runner =
        new RequestRunner(
            runtime,
            databaseRegistry,
            transactions,
            new SessionTokenCodec(settings.tokenKeys()),
            idGenerator,
            new SecureRandom());
    this.requests =
        new RequestService(
            runtime,
            databaseRegistry,
            runner,
            new Forwarder(peers),
            new PeerSuspicion(runtime.clock()),
            idGenerator);
    this.dump = new ProxyDump(runtime, databaseRegistry, store, transactions, requests);
    this.feedServer =
        new ConfigFeedServer(
            storeAdapter, runtime.timer(), key -> true, runtime.clock(), Optional.empty());
    this.feedClient =
        new ConfigFeedClient(
            settings.identity().host().value(),
            peers,
            storeAdapter,
            new ConfigFeedClient.Sources(settings::controllers, settings::peers, 0),
            runtime.clock(),
            runtime.timer(),
            Optional.empty());
  }

  static ProxyProcess start(ProxySettings settings) throws IOException {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Clock clock = Clock.system();
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    JsonHttpClient http = JsonHttpClient.start("endpoint", ENDPOINT_WORKERS);
    ProxyRuntime runtime =
        new ProxyRuntime(
            settings.identity(),
            clock,
            timer,
            new HttpEndpointClient(http, settings.translation()),
            new LoggingInvariantReporter(registry),
            new RetryBudget(),
            registry);
    PeerClient peers = PeerClient.start(settings.translation(), clock, registry);
    ProxyProcess process = new ProxyProcess(settings, runtime, peers);
    process.serve(registry);
    return process;
  }

  private void serve(PrometheusMeterRegistry registry) throws IOException {
    registry.gauge("sardinebay_requests_in_progress", requests, RequestService::inProgress);
    registry.gauge("sardinebay_open_transactions", transactions, TransactionTable::size);
    List<Route> routes = new ArrayList<>(AdminRoutes.of(this, registry));
    routes.add(Route.post("/v1/requests", requests::handle));
    JsonHttpServer.start(settings.listen(), HTTP_WORKERS, routes);
    PeerServer.start(settings.peerListen(), this::onPeerCall);
    feedClient.start();
    var unused =
        runtime
            .timer()
            .scheduleAtFixedRate(
                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<Frame> onPeerCall(Frame call) {
    return switch (call.getBodyCase()) {
      case FORWARD_CALL -> requests.handleForwarded(call.getForwardCall());
      case CONFIG_CALL -> feedServer.handle(call.getConfigCall());
      default -> new CompletableFuture<>();
    };
  }

  private void sweep() {
    try {
      databaseRegistry.sweep();
      transactions.sweep();
    } catch (RuntimeException e) {
      LOG.atError().setMessage("sweep_failed").setCause(e).log();
    }
  }

  @Override
  public JsonNode dump() {
    return dump.write();
  }

  @Override
  public boolean ready() {
    return !stopping && databaseRegistry.configured();
  }

  @Override
  public void shutdown() {
    stopping = true;
    LOG.atInfo().setMessage("shutdown_started").log();
    sleep(settings.shutdownGraceMillis());
    requests.startDraining();
    long deadline = runtime.clock().millis() + MAX_DRAIN_MILLIS;
    while (unfinished() > 0 && runtime.clock().millis() < deadline) {
      sleep(DRAIN_POLL_MILLIS);
    }
    sleep(DRAIN_POLL_MILLIS);
    databaseRegistry.contexts().forEach(context -> context.assignQuota(0));
    sweep();
    LOG.atInfo().setMessage("shutdown_ended").addKeyValue("unfinished", unfinished()).log();
  }

  private int unfinished() {
    return requests.inProgress() + transactions.size() + requests.ingressTransactions();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
