package org.sardinebay.gateway.internal.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.connection.ConnectionPreparation;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.gateway.internal.connection.PreparedNames;
import org.sardinebay.gateway.internal.request.ForwardedStatements;
import org.sardinebay.gateway.internal.request.ForwardingRunner;
import org.sardinebay.gateway.internal.request.LocalRunner;
import org.sardinebay.gateway.internal.request.StatementLog;
import org.sardinebay.gateway.internal.request.StatementRunContext;
import org.sardinebay.gateway.internal.request.StatementRunner;
import org.sardinebay.gateway.internal.version.ChangeAnnouncements;
import org.sardinebay.gateway.internal.version.CountedPlatformClient;
import org.sardinebay.gateway.internal.version.Homes;
import org.sardinebay.gateway.internal.version.Overflow;
import org.sardinebay.gateway.internal.version.PeerReachability;
import org.sardinebay.gateway.internal.version.PromotionCoordinator;
import org.sardinebay.gateway.internal.version.Quotas;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.gateway.internal.version.Services;
import org.sardinebay.gateway.internal.version.StoreFeeds;
import org.sardinebay.impeller.HttpPromotionClient;
import org.sardinebay.impeller.LineCallerProtocol;
import org.sardinebay.impeller.LineMemberProtocol;
import org.sardinebay.impeller.MetadataStoreClient;
import org.sardinebay.impeller.PlatformKeys;
import org.sardinebay.internal.process.ConfigurationConfirmation;
import org.sardinebay.internal.process.LoopLag;
import org.sardinebay.internal.process.ShutdownPlan;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.internal.process.StoreFreshness;
import org.sardinebay.internal.process.StoreKnowledge;
import org.sardinebay.internal.request.AdmissionControl;
import org.sardinebay.internal.request.ReadHedging;
import org.sardinebay.internal.version.ConfigStore;
import org.sardinebay.internal.version.PrimaryLease;
import org.sardinebay.net.AdminRoutes;
import org.sardinebay.net.RunningProcess;
import org.sardinebay.net.http.HttpServerResponse;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.net.http.JsonHttpServer;
import org.sardinebay.net.http.Route;
import org.sardinebay.net.peer.ConfigStoreAdapter;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.QuotaCall;
import org.sardinebay.net.peer.generated.ReachCall;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.session.MemberProtocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The running gateway: creates its components on one event loop and shuts them down in order. */
final class GatewayProcess implements RunningProcess {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayProcess.class);

  /** Interval of the periodic work, in milliseconds. */
  private static final long TICK_MILLIS = 50;

  /** How long a connection to the store may receive nothing. */
  private static final Duration STORE_SILENCE = Duration.ofSeconds(6);

  /** How long the event loop may take for the last answers of a shutdown, in milliseconds. */
  private static final long LAST_ANSWERS_MILLIS = 800;

  /** When the event loop has not ticked for this long, in milliseconds, it is considered stuck. */
  private static final long UNRESPONSIVE_MILLIS = 1_500;

  private static final int UNAVAILABLE = 503;

  private volatile GatewaySettings settings;
  private final Eventloop loop;
  private final LoopClock loopClock;
  private final Clock clock;
  private final Services services;
  private final Sessions sessions;
  private final StoreFeeds feeds;
  private final Peers peers;
  private final Homes homes;
  private final Overflow overflow;
  private final Quotas quotas;
  private final PeerReachability reachability;
  private final Set<ForwardedStatements> forwarded = new HashSet<>();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private ChangeAnnouncements announcements;
  private PromotionCoordinator promotions;
  private final LoopLag lag;
  private final StoreEra storeEra;
  private final StoreKnowledge knowledge;
  private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();
  private final AdmissionControl admission = new AdmissionControl();
  private volatile long tickedAt;
  private volatile boolean stopping;

  private GatewayProcess(
      GatewaySettings settings, Eventloop loop, LoopClock loopClock, Clock clock) {
    this.settings = settings;
    this.loop = loop;
    this.loopClock = loopClock;
    this.clock = clock;
    this.lag = new LoopLag(TICK_MILLIS, clock.millis());
    this.storeEra = new StoreEra(clock);
    this.knowledge =
        new StoreKnowledge(
            new StoreFreshness(clock),
            StoreFreshness.unknown(clock, PrimaryLease.MEMBERS_KNOWN_MILLIS));
    MemberProtocol memberProtocol = new LineMemberProtocol();
    this.services =
        new Services(
            spec ->
                new ServiceRuntime(
                    loop,
                    clock,
                    settings.host(),
                    settings.failureDomain(),
                    settings.distances(),
                    memberProtocol,
                    spec),
            clock,
            table -> confirmation.admits(table, storeEra.current(), clock.millis()));
    StatementLog log = new StatementLog(clock, registry);
    StatementRunner local = new LocalRunner(runContext(memberProtocol, log));
    ConfigStore records = new ConfigStore();
    ConfigStoreAdapter storeAdapter = new ConfigStoreAdapter(records);
    this.feeds = new StoreFeeds(records, storeAdapter, services, clock);
    storeAdapter.onChange(() -> feeds.refreshSoon(loop));
    ForwardedStatements.Context forwardedContext = forwardedContext(local, memberProtocol);
    this.peers = newPeers(storeAdapter, forwardedContext);
    this.homes =
        new Homes(
            settings.host(),
            settings.failureDomain(),
            settings.distances(),
            feeds::hosts,
            host ->
                new HomeClient(
                    host, peers::client, loop, clock, () -> lag.recentMillis(clock.millis())));
    this.overflow = new Overflow(homes, clock);
    this.quotas = newQuotas();
    this.reachability = new PeerReachability(services, homes, memberProtocol, loop, clock);
    StatementRunner runner =
        new ForwardingRunner(
            new ForwardingRunner.Context(clock, log, homes, overflow, admission, quotas, local));
    this.sessions =
        new Sessions(loop, services, runner, new LineCallerProtocol(), memberProtocol, clock);
    services.onConfigured(sessions::applyConfiguration);
  }

  private Peers newPeers(
      ConfigStoreAdapter storeAdapter, ForwardedStatements.Context forwardedContext) {
    return new Peers(
        settings,
        () -> this.settings.seeds(),
        storeAdapter,
        feeds::hosts,
        () -> new ForwardedStatements(forwardedContext),
        this::answerReach,
        this::answerQuota,
        () -> loop.execute(confirmation::onPeerReply),
        knowledge,
        clock,
        registry);
  }

  private ForwardedStatements.Context forwardedContext(
      StatementRunner local, MemberProtocol memberProtocol) {
    return new ForwardedStatements.Context(
        loop,
        clock,
        services,
        local,
        memberProtocol,
        () -> stopping,
        this::responsive,
        forwarded::add);
  }

  private CompletableFuture<Frame> answerReach(ReachCall call) {
    return reachability.answer(call);
  }

  private Quotas newQuotas() {
    return new Quotas(
        settings.registeredHost(),
        settings.quotaRule(),
        settings.distances(),
        services::table,
        feeds::hosts,
        homes,
        clock,
        registry);
  }

  private Frame answerQuota(QuotaCall call) {
    return quotas.answer(call);
  }

  private StatementRunContext runContext(MemberProtocol protocol, StatementLog log) {
    PreparedNames names = new PreparedNames();
    return new StatementRunContext(
        loop,
        clock,
        protocol,
        names,
        new ConnectionPreparation(protocol, names),
        log,
        new ReadHedging());
  }

  /** Creates the event loop, whose timers would otherwise run by the time of day. */
  static Eventloop loop(LoopClock loopClock) {
    return Eventloop.builder()
        .withThreadName("gateway")
        .withIdleInterval(Duration.ofSeconds(1))
        .withTimeProvider(loopClock::millis)
        .withFatalErrorHandler(GatewayProcess::logUnhandled)
        .build();
  }

  /**
   * Logs what a task of the event loop threw; the loop goes on. The loop's own handler would name
   * the event after the task's object, which differs in each process.
   */
  private static void logUnhandled(Throwable e, Object context) {
    LOG.atError().setMessage("loop_task_failed").setCause(e).log();
  }

  static GatewayProcess start(GatewaySettings settings) throws IOException {
    CallerListener listener = CallerListener.bind(settings.callers());
    try {
      return start(settings, listener);
    } catch (IOException e) {
      listener.close();
      throw e;
    }
  }

  private static GatewayProcess start(GatewaySettings settings, CallerListener listener)
      throws IOException {
    Clock clock = HostClock.create();
    LoopClock loopClock = new LoopClock(Clock.system(), clock);
    Eventloop loop = loop(loopClock);
    loop.keepAlive(true);
    GatewayProcess process = new GatewayProcess(settings, loop, loopClock, clock);
    // Before the event loop runs: Netty and the JDK read files when they are first used, and a
    // process crashed in read() when two threads were in it during the start.
    process.startPeers();
    Thread thread = new Thread(loop, "gateway");
    thread.setDaemon(true);
    thread.start();
    try {
      loop.submit(() -> process.serve(listener)).get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while starting", e);
    } catch (ExecutionException e) {
      throw new IOException("could not start: " + e.getCause().getMessage(), e);
    }
    return process;
  }

  private void serve(CallerListener listener) throws IOException {
    storeEra.onChange(GatewayProcess::logEra);
    JsonHttpClient http = JsonHttpClient.onEventLoop(loop, STORE_SILENCE);
    PlatformClient store = storeClient(http);
    PlatformClient watched = storeClient(StoreWatches.client(loop));
    StoreWatches watches =
        new StoreWatches(
            settings.host(),
            feeds,
            knowledge,
            peers::storeAnswered,
            watched,
            loop,
            clock,
            registry);
    watches.start();
    new HostRegistration(settings, store, storeEra, feeds.listener(StoreFeeds.HOSTS), loop).start();
    announcements =
        new ChangeAnnouncements(services, store, storeEra, settings.host(), loop, clock);
    promotions =
        new PromotionCoordinator(
            services,
            reachability,
            new PromotionCoordinator.StoreAccess(
                store, storeEra, announcements, watches::refreshMembers),
            new HttpPromotionClient(http, settings.promotions()),
            new LineMemberProtocol(),
            settings.host(),
            UUID.randomUUID().toString(),
            loop,
            clock,
            registry);
    sessions.serve(listener);
    JsonHttpServer.serveOn(
        loop,
        settings.readiness(),
        List.of(new Route(HttpMethod.GET, PlatformKeys.READY_PATH, call -> readiness())));
    GatewayMetrics metrics = new GatewayMetrics(services, sessions, storeEra, clock, registry);
    JsonHttpServer.serveOn(
        loop, settings.metrics(), AdminRoutes.of(this, registry, metrics::refresh));
    tick();
  }

  private PlatformClient storeClient(JsonHttpClient http) {
    return new CountedPlatformClient(
        new MetadataStoreClient(http, settings.store(), storeEra), registry);
  }

  private static void logEra(OptionalLong previous, long current) {
    LOG.atInfo()
        .setMessage("store_era_changed")
        .addKeyValue("era", current)
        .addKeyValue("previous", previous.isPresent() ? previous.getAsLong() : "-")
        .log();
  }

  /**
   * Applies the settings that can change without a restart, and logs whether others changed as
   * well.
   */
  void reload(GatewaySettings newer) {
    GatewaySettings before = settings;
    settings = before.reloaded(newer);
    LOG.atInfo()
        .setMessage("settings_reloaded")
        .addKeyValue("changed", !settings.equals(before))
        .addKeyValue("needs_restart", !settings.equals(newer))
        .log();
  }

  /** Starts the peer server and the feed between hosts; without them the host serves alone. */
  private void startPeers() {
    try {
      peers.start();
    } catch (IOException | RuntimeException e) {
      LOG.atError().setMessage("peers_not_started").addKeyValue("cause", e.getMessage()).log();
    }
  }

  private CompletableFuture<HttpServerResponse> readiness() {
    return CompletableFuture.completedFuture(
        HttpServerResponse.json(
            ready() ? HttpServerResponse.OK : UNAVAILABLE, Json.newObject().put("ready", ready())));
  }

  private void tick() {
    loopClock.refresh();
    loop.delay(TICK_MILLIS, this::tick);
    long now = clock.millis();
    admission.onTick(lag.onTick(now));
    tickedAt = now;
    TickPart.run("members", () -> feeds.tick(now));
    TickPart.run("members", () -> services.onMembersKnown(knowledge.members().knownAt()));
    TickPart.run("homes", () -> homes.assignAll(services, now));
    for (ServiceRuntime service : List.copyOf(services.all())) {
      TickPart.run("service", () -> service.tick(now));
    }
    TickPart.run("homes", () -> homes.tick(now));
    TickPart.run("quotas", () -> quotas.tick(now));
    TickPart.run("overflow", () -> overflow.tick(now));
    TickPart.run("forwarded", () -> tickForwarded(now));
    TickPart.run("sessions", () -> sessions.tick(now));
    TickPart.run("announcements", () -> announcements.tick(now));
    TickPart.run("promotions", () -> promotions.tick(now));
  }

  private boolean responsive() {
    return clock.millis() - tickedAt < UNRESPONSIVE_MILLIS;
  }

  private void tickForwarded(long now) {
    forwarded.forEach(connection -> connection.tick(now));
    forwarded.removeIf(ForwardedStatements::isFinished);
  }

  @Override
  public JsonNode dump() {
    if (loop.inReactorThread()) {
      return writeDump();
    }
    return GatewayDump.await(CompletableFuture.supplyAsync(this::writeDump, loop));
  }

  private JsonNode writeDump() {
    return GatewayDump.write(services, sessions, storeEra, feeds.hosts().size(), quotas, clock);
  }

  @Override
  public boolean ready() {
    return !stopping && services.admitsCallers();
  }

  @Override
  public void shutdown() {
    stopping = true;
    ShutdownPlan plan =
        new ShutdownPlan(
            clock.millis(), settings.balancerNoticesMillis(), settings.shutdownMillis());
    LOG.atInfo().setMessage("shutdown_started").addKeyValue("sessions", sessions.size()).log();
    sleepUntil(plan.closeAfterNextAt());
    loop.execute(sessions::closeAfterNext);
    sleepUntil(plan.closeIdleAt());
    loop.execute(sessions::closeWhenIdle);
    sleepUntil(plan.refuseAt());
    loop.execute(sessions::refuseFurther);
    sleepUntil(plan.answerAllAt());
    awaitLastAnswers(loop.submit(this::endSessionsAndLoop));
    peers.stop();
  }

  /** The process must not exit before the event loop has sent the last answers. */
  private static void awaitLastAnswers(CompletableFuture<Void> sent) {
    try {
      sent.get(LAST_ANSWERS_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.atError().setMessage("last_answers_not_sent").setCause(e).log();
    }
  }

  /** Answers all statements, closes all sockets and listeners, and stops the event loop. */
  private void endSessionsAndLoop() {
    services.all().forEach(ServiceRuntime::failWaiting);
    int sessionsLeft = sessions.size();
    LOG.atInfo()
        .setMessage("shutdown_ended")
        .addKeyValue("sessions_left", sessionsLeft)
        .addKeyValue("unanswered", sessions.endAll())
        .log();
    try {
      LoopChannels.closeAll(loop.ensureSelector());
    } catch (IOException e) {
      LOG.atWarn().setMessage("close_failed").addKeyValue("cause", e.getMessage()).log();
    }
    loop.breakEventloop();
  }

  private void sleepUntil(long end) {
    while (clock.millis() < end) {
      try {
        Thread.sleep(TICK_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
