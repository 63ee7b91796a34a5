package org.sardinebay.gateway.internal.process;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.net.AddressTranslation;
import org.sardinebay.net.peer.ConfigFeedClient;
import org.sardinebay.net.peer.ConfigFeedServer;
import org.sardinebay.net.peer.ConfigStoreFeed;
import org.sardinebay.net.peer.PeerClient;
import org.sardinebay.net.peer.PeerServer;
import org.sardinebay.net.peer.generated.Frame;

/**
 * Passes configuration and members on between the gateways, so that one which the store turns away
 * still learns of them. Two calls are held open at different peers: one of these may be turned away
 * by the store, too.
 */
final class PeerFeed {
  private final GatewaySettings settings;
  private final ConfigStoreFeed feed;
  private final Supplier<List<Address>> registered;
  private final Clock clock;
  private final MeterRegistry registry;
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(1, PeerFeed::timerThread);
  private Optional<PeerServer> server = Optional.empty();
  private Optional<PeerClient> client = Optional.empty();

  PeerFeed(
      GatewaySettings settings,
      ConfigStoreFeed feed,
      Supplier<List<Address>> registered,
      Clock clock,
      MeterRegistry registry) {
    this.settings = settings;
    this.feed = feed;
    this.registered = registered;
    this.clock = clock;
    this.registry = registry;
  }

  void start() throws IOException {
    ConfigFeedServer answers = new ConfigFeedServer(feed, timer);
    server = Optional.of(PeerServer.start(settings.peers(), call -> answer(answers, call)));
    PeerClient calls = PeerClient.start(AddressTranslation.none(), clock, registry);
    client = Optional.of(calls);
    Supplier<List<Address>> forward = () -> others(false);
    Supplier<List<Address>> backward = () -> others(true);
    for (Supplier<List<Address>> peers : List.of(forward, backward)) {
      new ConfigFeedClient(settings.host().value(), calls, feed, peers, List::of, clock, timer)
          .start();
    }
  }

  /** Ends the feed and its connections. */
  void stop() {
    timer.shutdownNow();
    client.ifPresent(PeerClient::stop);
    server.ifPresent(PeerServer::stop);
  }

  private static Thread timerThread(Runnable task) {
    Thread thread = new Thread(task, "peer-timer");
    thread.setDaemon(true);
    return thread;
  }

  private static CompletableFuture<Frame> answer(ConfigFeedServer answers, Frame call) {
    return call.hasConfigCall() ? answers.handle(call.getConfigCall()) : new CompletableFuture<>();
  }

  private List<Address> others(boolean reversed) {
    Set<Address> known = new LinkedHashSet<>(registered.get());
    known.addAll(settings.seeds());
    known.remove(settings.peers());
    List<Address> list = new ArrayList<>(known);
    if (reversed) {
      Collections.reverse(list);
    }
    return list;
  }
}
