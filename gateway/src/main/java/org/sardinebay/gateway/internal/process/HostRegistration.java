package org.sardinebay.gateway.internal.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.gateway.internal.version.ObjectWatch;
import org.sardinebay.gateway.internal.version.StoreFeeds;
import org.sardinebay.net.http.Json;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
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
   * Interval at which hosts are listed, in milliseconds; a new host is found sooner through the
   * seeds.
   */
  private static final long LIST_INTERVAL_MILLIS = 20_000;

  private final GatewaySettings settings;
  private final PlatformClient store;
  private final ObjectWatch.Listener listener;
  private final Eventloop loop;

  HostRegistration(
      GatewaySettings settings,
      PlatformClient store,
      ObjectWatch.Listener listener,
      Eventloop loop) {
    this.settings = settings;
    this.store = store;
    this.listener = listener;
    this.loop = loop;
  }

  void start() {
    register(0);
  }

  private void register(long expectedVersion) {
    ObjectKey key = new ObjectKey(StoreFeeds.HOSTS, settings.host().value());
    ObjectNode body =
        Json.newObject()
            .put("peers", settings.peers().toString())
            .put("failureDomain", settings.failureDomain().value());
    CompletableFuture<Void> unused =
        store
            .write(key, expectedVersion, body, CALL_TIMEOUT_MILLIS)
            .thenAccept(result -> loop.execute(() -> onRegistered(result)));
  }

  private void onRegistered(PlatformResult result) {
    if (result instanceof PlatformResult.Found) {
      list();
    } else if (result instanceof PlatformResult.Conflict conflict) {
      register(conflict.currentVersion());
    } else {
      LOG.atInfo().setMessage("host_not_registered").addKeyValue("result", result).log();
      loop.delay(RETRY_MILLIS, this::start);
    }
  }

  private void list() {
    // A watch after revision 0 lists the objects and does not wait.
    CompletableFuture<Void> unused =
        store
            .watch(List.of(StoreFeeds.HOSTS), 0, 0)
            .thenAccept(result -> loop.execute(() -> onListed(result)));
  }

  private void onListed(PlatformResult result) {
    if (result instanceof PlatformResult.Listing listing) {
      listener.onListing(listing.revision(), listing.objects());
    } else {
      LOG.atInfo().setMessage("hosts_not_listed").addKeyValue("result", result).log();
    }
    loop.delay(LIST_INTERVAL_MILLIS, this::list);
  }
}
