package org.sardinebay.gateway.internal.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.request.ForwardedStatements;
import org.sardinebay.gateway.internal.version.StoreFeeds;
import org.sardinebay.internal.process.FeedTiming;
import org.sardinebay.internal.process.StoreKnowledge;
import org.sardinebay.internal.process.StoreWatchers;
import org.sardinebay.internal.process.StoreWatchers.Nearness;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.peer.ConfigFeedClient;
import org.sardinebay.net.peer.ConfigFeedServer;
import org.sardinebay.net.peer.ConfigStoreAdapter;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.net.peer.PeerHandler;
import org.sardinebay.net.peer.PeerServer;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.QuotaCall;
import org.sardinebay.net.peer.generated.ReachCall;
import org.sardinebay.session.RegisteredHost;

/**
 * Calls between gateways. They distribute configuration and members, so that a gateway that the
 * store refuses still receives them, and carry statements to the homes of their services. Each
 * gateway keeps feed calls open to two peers that watch the store closely, one in its own failure
 * domain and one in another, because either may be cut off from the store as well.
 */
final class Peers {
  private final GatewaySettings settings;
  private final Supplier<List<Address>> seeds;
  private final ConfigStoreAdapter storeAdapter;
  private final Supplier<List<RegisteredHost>> registered;
  private final Supplier<ForwardedStatements> statements;
  private final Function<ReachCall, CompletableFuture<Frame>> reachHandler;
  private final Function<QuotaCall, Frame> quotaHandler;
  private final Runnable onFeedReply;
  private final StoreKnowledge knowledge;
  private final Clock clock;
  private final MeterRegistry registry;
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(1, Peers::timerThread);
  private final ConfigFeedServer feedServer;
  private Optional<PeerServer> server = Optional.empty();
  private Optional<PeerClient> client = Optional.empty();
  private volatile FeedSources feedSources = FeedSources.NONE;

  /**
   * The hosts that the feeds poll, in order, and the list of hosts that they were computed from.
   * Ordering a large fleet for each poll would take more time than the poll itself.
   */
  private record FeedSources(
      List<RegisteredHost> hosts,
      List<Address> seeds,
      Map<Nearness, List<Address>> watchers,
      List<Address> others) {
    private static final FeedSources NONE =
        new FeedSources(List.of(), List.of(), Map.of(), List.of());
  }

  Peers(
      GatewaySettings settings,
      Supplier<List<Address>> seeds,
      ConfigStoreAdapter storeAdapter,
      Supplier<List<RegisteredHost>> registered,
      Supplier<ForwardedStatements> statements,
      Function<ReachCall, CompletableFuture<Frame>> reachHandler,
      Function<QuotaCall, Frame> quotaHandler,
      Runnable onFeedReply,
      StoreKnowledge knowledge,
      Clock clock,
      MeterRegistry registry) {
    this.settings = settings;
    this.seeds = seeds;
    this.storeAdapter = storeAdapter;
    this.registered = registered;
    this.statements = statements;
    this.reachHandler = reachHandler;
    this.quotaHandler = quotaHandler;
    this.onFeedReply = onFeedReply;
    this.knowledge = knowledge;
    this.clock = clock;
    this.registry = registry;
    // Hosts list each other from the store anyway; the feed only helps those that it refuses.
    this.feedServer =
        new ConfigFeedServer(
            storeAdapter,
            timer,
            key -> !key.kind().equals(StoreFeeds.HOSTS),
            clock,
            Optional.of(knowledge));
  }

  /** Tells the hosts that follow the store through this one that the store has answered. */
  void storeAnswered() {
    feedServer.storeAnswered();
  }

  void start() throws IOException {
    server =
        Optional.of(
            PeerServer.start(
                settings.peers(),
                () -> new Connection(feedServer, statements, reachHandler, quotaHandler)));
    PeerClient peerClient = client();
    for (Nearness nearness : Nearness.values()) {
      ConfigFeedClient feedClient =
          new ConfigFeedClient(
              settings.host().value(),
              peerClient,
              storeAdapter,
              new ConfigFeedClient.Sources(
                  () -> watchers(nearness), this::otherPeers, fetchDelayMillis(nearness)),
              clock,
              timer,
              Optional.of(knowledge));
      feedClient.onReply(onFeedReply);
      feedClient.start();
    }
  }

  /** Returns the client that calls other gateways; started on first use. */
  synchronized PeerClient client() {
    if (client.isEmpty()) {
      client = Optional.of(PeerClient.start(AddressTranslation.none(), clock, registry));
    }
    return client.get();
  }

  /** Stops the feed and closes its connections. */
  synchronized void stop() {
    timer.shutdownNow();
    client.ifPresent(PeerClient::stop);
    server.ifPresent(PeerServer::stop);
  }

  private static Thread timerThread(Runnable task) {
    Thread thread = new Thread(task, "peer-timer");
    thread.setDaemon(true);
    return thread;
  }

  private static long fetchDelayMillis(Nearness nearness) {
    return nearness == Nearness.OWN_DOMAIN ? 0 : FeedTiming.OTHER_DOMAIN_FETCH_DELAY_MILLIS;
  }

  private List<Address> watchers(Nearness nearness) {
    return feedSources().watchers().getOrDefault(nearness, List.of());
  }

  /** All known peers, polled while no watcher replies. */
  private List<Address> otherPeers() {
    return feedSources().others();
  }

  /** Returns the sources for the present hosts; the list of hosts is the same until it changes. */
  private FeedSources feedSources() {
    List<RegisteredHost> hosts = registered.get();
    List<Address> currentSeeds = seeds.get();
    FeedSources current = feedSources;
    if (current.hosts() != hosts || !current.seeds().equals(currentSeeds)) {
      current = computeFeedSources(hosts, currentSeeds);
      feedSources = current;
    }
    return current;
  }

  private FeedSources computeFeedSources(List<RegisteredHost> hosts, List<Address> currentSeeds) {
    Map<Nearness, List<Address>> watchers = new EnumMap<>(Nearness.class);
    for (Nearness nearness : Nearness.values()) {
      watchers.put(
          nearness,
          StoreWatchers.sources(settings.host(), settings.failureDomain(), hosts, nearness).stream()
              .map(RegisteredHost::peerAddress)
              .toList());
    }
    Set<Address> others = new LinkedHashSet<>();
    StoreWatchers.spread(settings.host(), hosts).forEach(host -> others.add(host.peerAddress()));
    others.addAll(currentSeeds);
    others.remove(settings.peers());
    return new FeedSources(hosts, currentSeeds, watchers, List.copyOf(others));
  }

  /** Handles one connection from another host; most connections carry only the feed. */
  private static final class Connection implements PeerHandler {
    private final ConfigFeedServer feedServer;
    private final Supplier<ForwardedStatements> statements;
    private final Function<ReachCall, CompletableFuture<Frame>> reachHandler;
    private final Function<QuotaCall, Frame> quotaHandler;
    private Optional<ForwardedStatements> forwarded = Optional.empty();

    private Connection(
        ConfigFeedServer feedServer,
        Supplier<ForwardedStatements> statements,
        Function<ReachCall, CompletableFuture<Frame>> reachHandler,
        Function<QuotaCall, Frame> quotaHandler) {
      this.feedServer = feedServer;
      this.statements = statements;
      this.reachHandler = reachHandler;
      this.quotaHandler = quotaHandler;
    }

    @Override
    public CompletableFuture<Frame> handle(Frame call) {
      if (call.hasConfigCall()) {
        return feedServer.handle(call.getConfigCall());
      }
      if (call.hasReachCall()) {
        return reachHandler.apply(call.getReachCall());
      }
      if (call.hasQuotaCall()) {
        return CompletableFuture.completedFuture(quotaHandler.apply(call.getQuotaCall()));
      }
      if (!call.hasStatementCall()) {
        return CompletableFuture.failedFuture(
            new IllegalArgumentException("a gateway can't answer " + call.getBodyCase()));
      }
      if (forwarded.isEmpty()) {
        forwarded = Optional.of(statements.get());
      }
      return forwarded.get().handle(call);
    }

    @Override
    public void disconnected() {
      forwarded.ifPresent(ForwardedStatements::disconnected);
    }
  }
}
