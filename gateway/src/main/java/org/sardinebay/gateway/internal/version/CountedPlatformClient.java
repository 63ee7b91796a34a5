package org.sardinebay.gateway.internal.version;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformResult;

/**
 * Counts the calls to the platform by operation and result, because calls are rate limited and
 * charged for.
 *
 * <pre>{@code
 * PlatformClient client = new MetadataStoreClient(http, address, era);
 * PlatformClient store = new CountedPlatformClient(client, registry);
 * }</pre>
 */
public final class CountedPlatformClient implements PlatformClient {
  private final PlatformClient delegate;
  private final MeterRegistry registry;

  /**
   * Wraps a platform client.
   *
   * @param delegate the client that makes the calls
   * @param registry the registry of the counters
   */
  public CountedPlatformClient(PlatformClient delegate, MeterRegistry registry) {
    this.delegate = delegate;
    this.registry = registry;
  }

  @Override
  public CompletableFuture<PlatformResult> read(ObjectKey key, long timeoutMillis) {
    return count("read", key.kind(), delegate.read(key, timeoutMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> write(
      ObjectKey key, long expectedVersion, ObjectNode body, long timeoutMillis) {
    return count("write", key.kind(), delegate.write(key, expectedVersion, body, timeoutMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> delete(
      ObjectKey key, long expectedVersion, long timeoutMillis) {
    return count("delete", key.kind(), delegate.delete(key, expectedVersion, timeoutMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> watch(
      List<String> kinds, long afterRevision, long waitMillis) {
    String call = afterRevision == 0 ? "list" : "watch";
    return count(call, String.join(",", kinds), delegate.watch(kinds, afterRevision, waitMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> listStale(String kind) {
    return count("list_stale", kind, delegate.listStale(kind));
  }

  @Override
  public CompletableFuture<PlatformResult> hosts(long timeoutMillis) {
    return count("hosts", "hosts", delegate.hosts(timeoutMillis));
  }

  private CompletableFuture<PlatformResult> count(
      String call, String kind, CompletableFuture<PlatformResult> result) {
    return result.whenComplete(
        (outcome, e) ->
            registry
                .counter(
                    "sardinebay_store_calls",
                    "call",
                    call,
                    "kind",
                    kind,
                    "result",
                    resultLabel(outcome))
                .increment());
  }

  private static String resultLabel(PlatformResult outcome) {
    return outcome instanceof PlatformResult.Failed failed
        ? failed.failure().name()
        : outcome.getClass().getSimpleName();
  }
}
