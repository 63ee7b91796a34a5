package org.sardinebay.gateway.internal.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sardinebay.gateway.internal.version.ObjectWatch;
import org.sardinebay.gateway.internal.version.StoreFeeds;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this host in the store and periodically lists the registered hosts. No watch is needed,
 * because the feed between hosts distributes what any host lists.
 */
final class HostRegistration {
  private static final Logger LOG = LoggerFactory.getLogger(HostRegistration.class);
  private static final long CALL_TIMEOUT_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 1_000;

  /**
   * Delay between the first two listings, in milliseconds; doubles with each listing up to {@link
   * #MAX_LIST_INTERVAL_MILLIS}. Hosts that start together are not all registered at the first one.
   */
  private static final long MIN_LIST_INTERVAL_MILLIS = 1_000;

  /** Largest delay between two listings, in milliseconds. */
  private static final long MAX_LIST_INTERVAL_MILLIS = 20_000;

  /**
   * Within this time, in milliseconds, all hosts register again after the store came back from an
   * older copy. Each has its own moment, so that the store's rate of writes is kept.
   */
  private static final long REGISTER_AGAIN_MILLIS = 2_000;

  private final GatewaySettings settings;
  private final PlatformClient store;
  private final StoreEra storeEra;
  private final ObjectWatch.Listener listener;
  private final Eventloop loop;
  private long listIntervalMillis = MIN_LIST_INTERVAL_MILLIS;

  HostRegistration(
      GatewaySettings settings,
      PlatformClient store,
      StoreEra storeEra,
      ObjectWatch.Listener listener,
      Eventloop loop) {
    this.settings = settings;
    this.store = store;
    this.storeEra = storeEra;
    this.listener = listener;
    this.loop = loop;
  }

  /**
   * Lists the hosts before this one registers, so that a first start shows: it isn't listed. A host
   * that is listed as it would register makes no write. The listing may be stale, because nothing
   * but the return of the store from an older copy undoes a registration, and that is noticed.
   */
  void start() {
    storeEra.onChange((previous, current) -> registerAgain(previous));
    list(listing -> register(listing));
  }

  private void registerAgain(OptionalLong previousEra) {
    if (previousEra.isPresent()) {
      long delay = Math.floorMod(settings.host().value().hashCode(), REGISTER_AGAIN_MILLIS);
      loop.execute(() -> loop.delay(delay, () -> register(0)));
    }
  }

  private ObjectKey key() {
    return new ObjectKey(StoreFeeds.HOSTS, settings.host().value());
  }

  private ObjectNode body() {
    return Json.newObject()
        .put("peers", settings.peers().toString())
        .put("failureDomain", settings.failureDomain().value());
  }

  private void register(PlatformResult result) {
    Optional<PlatformObject> own = listed(result);
    if (own.isPresent() && own.get().body().equals(body())) {
      LOG.atInfo().setMessage("host_registered_before").log();
    } else {
      register(own.map(PlatformObject::version).orElse(0L));
    }
  }

  private Optional<PlatformObject> listed(PlatformResult result) {
    return result instanceof PlatformResult.Listing listing
        ? listing.objects().stream().filter(object -> object.key().equals(key())).findAny()
        : Optional.empty();
  }

  private void register(long expectedVersion) {
    CompletableFuture<Void> unused =
        store
            .write(key(), expectedVersion, body(), CALL_TIMEOUT_MILLIS)
            .thenAccept(result -> loop.execute(() -> onRegistered(result)));
  }

  private void onRegistered(PlatformResult result) {
    if (result instanceof PlatformResult.Found) {
      LOG.atInfo().setMessage("host_registered").log();
    } else if (result instanceof PlatformResult.Conflict conflict) {
      register(conflict.currentVersion());
    } else {
      LOG.atInfo().setMessage("host_not_registered").addKeyValue("result", result).log();
      loop.delay(RETRY_MILLIS, () -> register(0));
    }
  }

  /** Finds hosts that have registered since; a stale listing doesn't show that one is gone. */
  private void list(Consumer<PlatformResult> next) {
    CompletableFuture<Void> unused =
        store
            .listStale(StoreFeeds.HOSTS)
            .thenAccept(result -> loop.execute(() -> onListed(result, next)));
  }

  private void onListed(PlatformResult result, Consumer<PlatformResult> next) {
    if (result instanceof PlatformResult.Listing listing) {
      listener.onChanges(listing.objects());
    } else {
      LOG.atInfo().setMessage("hosts_not_listed").addKeyValue("result", result).log();
    }
    next.accept(result);
    loop.delay(listIntervalMillis, () -> list(listed -> {}));
    listIntervalMillis = Math.min(MAX_LIST_INTERVAL_MILLIS, 2 * listIntervalMillis);
  }
}
