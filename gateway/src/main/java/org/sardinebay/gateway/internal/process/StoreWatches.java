package org.sardinebay.gateway.internal.process;

import io.activej.eventloop.Eventloop;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.TimeGauge;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.version.ObjectWatch;
import org.sardinebay.gateway.internal.version.StoreFeeds;
import org.sardinebay.impeller.PlatformKeys;
import org.sardinebay.internal.process.StoreWatchers;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.platform.PlatformClient;

/**
 * Watches the configuration and the members in the store. In a large fleet, only the hosts that
 * {@link StoreWatchers} selects notice a lost watch within seconds; the others poll these.
 */
final class StoreWatches {
  /**
   * How long a watch of the configuration waits for a change on hosts that watch closely, in
   * milliseconds. A connection that went silent is noticed when the wait and the margin of the
   * call's timeout are over; together they are shorter than the time within which a configuration
   * must be applied after a disruption. The kernel's probes don't replace this: a relay that stops
   * passing data on still answers them.
   */
  private static final long CLOSE_CONFIGURATION_WAIT_MILLIS = 2_000;

  /** How long a watch of the members waits on these hosts, in milliseconds. */
  private static final long CLOSE_MEMBERS_WAIT_MILLIS = 4_000;

  /**
   * How long a watch waits for a change on the other hosts, in milliseconds: the longest that the
   * store permits, because each wait is a counted call. They learn of changes from the hosts that
   * watch closely.
   */
  private static final long WAIT_MILLIS = 30_000;

  /** How long a connection that carries watches may receive nothing: longer than they wait. */
  private static final Duration SILENCE = Duration.ofMillis(WAIT_MILLIS + 2_000);

  /**
   * Delay between a change of the members and the next watch on hosts that watch closely, in
   * milliseconds.
   */
  private static final long CLOSE_MEMBERS_PAUSE_MILLIS = 400;

  /** The same delay on the other hosts, which the former tell of the change. */
  private static final long MEMBERS_PAUSE_MILLIS = 2_500;

  private final HostId self;
  private final StoreFeeds feeds;
  private final PlatformClient store;
  private final Eventloop loop;
  private final Clock clock;
  private final MeterRegistry registry;

  StoreWatches(
      HostId self,
      StoreFeeds feeds,
      PlatformClient store,
      Eventloop loop,
      Clock clock,
      MeterRegistry registry) {
    this.self = self;
    this.feeds = feeds;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.registry = registry;
  }

  /** Creates the client for the watches, whose connections are idle for most of the time. */
  static JsonHttpClient client(Eventloop loop) {
    return JsonHttpClient.probingOnEventLoop(loop, SILENCE);
  }

  void start() {
    watch(
        PlatformKeys.CONFIGURATION.kind(),
        new ObjectWatch.Timing(() -> waitMillis(CLOSE_CONFIGURATION_WAIT_MILLIS), () -> 0));
    watch(
        PlatformKeys.MEMBER_KIND,
        new ObjectWatch.Timing(
            () -> waitMillis(CLOSE_MEMBERS_WAIT_MILLIS), this::membersPauseMillis));
  }

  private void watch(String kind, ObjectWatch.Timing timing) {
    ObjectWatch watch = new ObjectWatch(store, kind, timing, feeds.listener(kind), loop, clock);
    TimeGauge.builder(
            "sardinebay_store_watch_silence",
            watch,
            TimeUnit.MILLISECONDS,
            ObjectWatch::silenceMillis)
        .tag("kind", kind)
        .register(registry);
    watch.start();
  }

  private long waitMillis(long closeWaitMillis) {
    return watchesClosely() ? closeWaitMillis : WAIT_MILLIS;
  }

  private long membersPauseMillis() {
    return watchesClosely() ? CLOSE_MEMBERS_PAUSE_MILLIS : MEMBERS_PAUSE_MILLIS;
  }

  private boolean watchesClosely() {
    return StoreWatchers.watchesClosely(self, feeds.hosts());
  }
}
