package org.sardinebay.controller.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.DatabaseWatch;
import org.sardinebay.net.AdminRoutes;
import org.sardinebay.net.LoggingInvariantReporter;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.endpoint.HttpEndpointClient;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.peer.ConfigFeedClient;
import org.sardinebay.net.peer.ConfigFeedServer;
import org.sardinebay.net.peer.ConfigStoreAdapter;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.net.peer.PeerServer;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.platform.HttpPlatformClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The running controller: creates and connects its components. */
final class ControllerProcess implements RunningProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerProcess.class);
  private static final int HTTP_WORKERS = 1;
  private static final int CLIENT_WORKERS = 1;
  private static final int TIMER_THREADS = 2;
  private static final int PROCESS_SUFFIX_LENGTH = 8;

  private final ControllerSettings settings;
  private final ControllerRuntime runtime;
  private final Topology topology;
  private final Supervisors supervisors;
  private final PlatformWatcher platformWatcher;
  private final ConfigFeedServer feedServer;
  private final ConfigFeedClient feedClient;
  private final ControllerDump dump;
  private final ConfigStore store = new ConfigStore();
  private volatile boolean stopping;

  private ControllerProcess(ControllerSettings settings, ControllerRuntime runtime) {
    this.settings = settings;
    this.runtime = runtime;
    ConfigStoreAdapter storeAdapter = new ConfigStoreAdapter(store);
    this.topology = new Topology(settings.self(), store);
    this.supervisors = new Supervisors(runtime, topology, new PredecessorMonitor(runtime));
    this.platformWatcher = new PlatformWatcher(runtime, topology, storeAdapter, supervisors);
    this.feedServer =
        new ConfigFeedServer(
            storeAdapter, runtime.timer(), key -> true, runtime.clock(), Optional.empty());
    this.feedClient =
        new ConfigFeedClient(
            settings.self().host().value(),
            runtime.peers(),
            storeAdapter,
            new ConfigFeedClient.Sources(this::preferredSources, topology::otherControllers, 0),
            runtime.clock(),
            runtime.timer(),
            Optional.empty());
    this.dump = new ControllerDump(runtime, storeAdapter, platformWatcher, supervisors);
  }

  static ControllerProcess start(ControllerSettings settings) throws IOException {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Clock clock = Clock.system();
    JsonHttpClient endpointHttp = JsonHttpClient.start("endpoint", CLIENT_WORKERS);
    JsonHttpClient platformHttp = JsonHttpClient.start("platform", CLIENT_WORKERS);
    ControllerRuntime runtime =
        new ControllerRuntime(
            settings.self(),
            processName(settings),
            clock,
            Executors.newScheduledThreadPool(TIMER_THREADS),
            new HttpEndpointClient(endpointHttp, settings.translation()),
            new HttpPlatformClient(platformHttp, settings.platform(), settings.translation()),
            PeerClient.start(settings.translation(), clock, registry),
            new LoggingInvariantReporter(registry),
            registry);
    ControllerProcess process = new ControllerProcess(settings, runtime);
    process.serve(registry);
    return process;
  }

  private static String processName(ControllerSettings settings) {
    String suffix = UUID.randomUUID().toString().substring(0, PROCESS_SUFFIX_LENGTH);
    return settings.self().host() + "-" + suffix;
  }

  private void serve(PrometheusMeterRegistry registry) throws IOException {
    JsonHttpServer.start(settings.listen(), HTTP_WORKERS, AdminRoutes.of(this, registry));
    PeerServer.start(settings.self().address(), this::onPeerCall);
    platformWatcher.start();
    feedClient.start();
    ScheduledFuture<?> unused =
        runtime
            .timer()
            .scheduleWithFixedDelay(
                this::tick, 0, DatabaseWatch.POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    try {
      supervisors.tick();
    } catch (RuntimeException e) {
      LOG.atError().setMessage("tick_failed").setCause(e).log();
    }
  }

  private CompletableFuture<Frame> onPeerCall(Frame call) {
    return switch (call.getBodyCase()) {
      case CONFIG_CALL -> feedServer.handle(call.getConfigCall());
      case SUSPICION_CALL -> CompletableFuture.completedFuture(suspicion(call));
      default -> new CompletableFuture<>();
    };
  }

  private Frame suspicion(Frame call) {
    return Frame.newBuilder()
        .setSuspicionReply(supervisors.suspicion(call.getSuspicionCall()))
        .build();
  }

  private List<Address> preferredSources() {
    Set<Address> sources = new LinkedHashSet<>(topology.sameDomainWatchers());
    sources.addAll(settings.peers());
    sources.remove(settings.self().address());
    return new ArrayList<>(sources);
  }

  @Override
  public JsonNode dump() {
    return dump.write();
  }

  @Override
  public boolean ready() {
    return !stopping && (platformWatcher.listed() || !store.versions().isEmpty());
  }

  @Override
  public void shutdown() {
    stopping = true;
    feedClient.stop();
    runtime.timer().shutdownNow();
    LOG.atInfo().setMessage("shutdown_ended").log();
  }
}
