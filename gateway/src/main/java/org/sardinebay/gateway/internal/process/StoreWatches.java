package org.sardinebay.gateway.internal.process;

import io.activej.eventloop.Eventloop;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.TimeGauge;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.version.ObjectWatch;
import org.sardinebay.gateway.internal.version.StoreFeeds;
import org.sardinebay.impeller.PlatformKeys;
import org.sardinebay.internal.process.StoreFreshness;
import org.sardinebay.internal.process.StoreKnowledge;
import org.sardinebay.internal.process.StoreWatchers;
import org.sardinebay.net.http.JsonHttpClient;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the configuration and the members in the store. In a large fleet, only the hosts that
 * {@link StoreWatchers} selects notice a lost watch within seconds; the others poll these. A host
 * that is not told in time that it knows all changes ({@link StoreFreshness}) watches closely as
 * well.
 */
final class StoreWatches {
  private static final Logger LOG = LoggerFactory.getLogger(StoreWatches.class);

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
   * How long a watch of the members waits on the other hosts, in milliseconds: the longest that the
   * store permits, because each wait is a counted call. They learn of changes from the hosts that
   * watch closely.
   */
  private static final long WAIT_MILLIS = 30_000;

  /**
   * Longest delay between calls that fail in a row on hosts that watch closely, in milliseconds. A
   * change of the configuration must be in force some seconds after the store answers again.
   */
  private static final long CLOSE_MAX_RETRY_MILLIS = 1_000;

  /** The same delay on the other hosts, which the former tell of the change. */
  private static final long MAX_RETRY_MILLIS = 2_500;

  /** How often this host checks whether it knows the recent changes, in milliseconds. */
  private static final long CHECK_MILLIS = 250;

  /** How long a connection that carries watches may receive nothing: longer than they wait. */
  private static final Duration SILENCE = Duration.ofMillis(WAIT_MILLIS + 2_000);

  /**
   * Delay between a change of the members and the next watch on hosts that watch closely, in
   * milliseconds.
   */
  private static final long CLOSE_MEMBERS_PAUSE_MILLIS = 400;

  /** Interval at which the driver of a change of primary lists the members, in milliseconds. */
  private static final long MEMBERS_REFRESH_MILLIS = 1_000;

  /** The same delay on the other hosts, which the former tell of the change. */
  private static final long MEMBERS_PAUSE_MILLIS = 2_500;

  private final HostId self;
  private final StoreFeeds feeds;
  private final StoreFreshness freshness;
  private final StoreFreshness membersFreshness;
  private final Runnable onConfigurationAnswered;
  private final PlatformClient store;
  private final Eventloop loop;
  private final Clock clock;
  private final MeterRegistry registry;
  private final List<ObjectWatch> watches = new ArrayList<>();
  private ObjectWatch members;
  private boolean stale;

  StoreWatches(
      HostId self,
      StoreFeeds feeds,
      StoreKnowledge knowledge,
      Runnable onConfigurationAnswered,
      PlatformClient store,
      Eventloop loop,
      Clock clock,
      MeterRegistry registry) {
    this.self = self;
    this.feeds = feeds;
    this.freshness = knowledge.configuration();
    this.membersFreshness = knowledge.members();
    this.onConfigurationAnswered = onConfigurationAnswered;
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
        new ObjectWatch.Timing(
            () -> CLOSE_CONFIGURATION_WAIT_MILLIS,
            () -> 0,
            this::maxRetryMillis,
            this::asksStore,
            StoreFreshness.MAX_AGE_MILLIS),
        notifying(
            PlatformKeys.CONFIGURATION.kind(),
            asOf -> {
              freshness.onStoreAnswer();
              onConfigurationAnswered.run();
            }));
    members =
        watch(
            PlatformKeys.MEMBER_KIND,
            new ObjectWatch.Timing(
                () -> asksStore() ? CLOSE_MEMBERS_WAIT_MILLIS : WAIT_MILLIS,
                this::membersPauseMillis,
                this::maxRetryMillis,
                () -> true,
                Long.MAX_VALUE),
            notifying(PlatformKeys.MEMBER_KIND, membersFreshness::onStoreAnswer));
    TimeGauge.builder(
            "sardinebay_store_knowledge_age",
            freshness,
            TimeUnit.MILLISECONDS,
            StoreFreshness::ageMillis)
        .register(registry);
    check();
  }

  private ObjectWatch watch(String kind, ObjectWatch.Timing timing, ObjectWatch.Listener listener) {
    ObjectWatch watch = new ObjectWatch(store, kind, timing, listener, loop, clock);
    TimeGauge.builder(
            "sardinebay_store_watch_silence",
            watch,
            TimeUnit.MILLISECONDS,
            ObjectWatch::silenceMillis)
        .tag("kind", kind)
        .register(registry);
    watches.add(watch);
    watch.start();
    return watch;
  }

  private ObjectWatch.Listener notifying(String kind, LongConsumer onAnswered) {
    ObjectWatch.Listener applying = feeds.listener(kind);
    return new ObjectWatch.Listener() {
      @Override
      public void onListing(long revision, List<PlatformObject> objects) {
        applying.onListing(revision, objects);
      }

      @Override
      public void onChanges(List<PlatformObject> objects) {
        applying.onChanges(objects);
      }

      @Override
      public void onAnswered(long asOf) {
        onAnswered.accept(asOf);
      }
    };
  }

  /**
   * Lists the members at once unless they were listed a moment ago; the driver of a change of
   * primary has to know those that have just joined.
   */
  void refreshMembers() {
    members.refresh(MEMBERS_REFRESH_MILLIS);
  }

  private void check() {
    loop.delay(CHECK_MILLIS, this::check);
    if (stale == freshness.fresh()) {
      stale = !stale;
      LOG.atInfo()
          .setMessage(stale ? "store_changes_unconfirmed" : "store_changes_confirmed")
          .addKeyValue("age_millis", freshness.ageMillis())
          .addKeyValue("closely", watchesClosely())
          .log();
    }
    watches.forEach(ObjectWatch::checkNow);
  }

  private boolean asksStore() {
    return watchesClosely() || !freshness.fresh();
  }

  private long maxRetryMillis() {
    return watchesClosely() ? CLOSE_MAX_RETRY_MILLIS : MAX_RETRY_MILLIS;
  }

  private long membersPauseMillis() {
    return watchesClosely() ? CLOSE_MEMBERS_PAUSE_MILLIS : MEMBERS_PAUSE_MILLIS;
  }

  private boolean watchesClosely() {
    return StoreWatchers.watchesClosely(self, feeds.hosts());
  }
}
