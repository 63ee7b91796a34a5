package org.sardinebay.gateway.internal.version;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformResult;

/**
 * Counts each call to the platform by what it does and what it came to: calls are limited and paid
 * for.
 *
 * <pre>{@code
 * PlatformClient store = new CountedPlatformClient(new StoreClient(http, address), registry);
 * }</pre>
 */
public final class CountedPlatformClient implements PlatformClient {
  private final PlatformClient counted;
  private final MeterRegistry registry;

  /**
   * Wraps a client.
   *
   * @param counted makes the calls
   * @param registry where to count
   */
  public CountedPlatformClient(PlatformClient counted, MeterRegistry registry) {
    this.counted = counted;
    this.registry = registry;
  }

  @Override
  public CompletableFuture<PlatformResult> read(ObjectKey key, long timeoutMillis) {
    return count("read", key.kind(), counted.read(key, timeoutMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> write(
      ObjectKey key, long expectedVersion, ObjectNode body, long timeoutMillis) {
    return count("write", key.kind(), counted.write(key, expectedVersion, body, timeoutMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> delete(
      ObjectKey key, long expectedVersion, long timeoutMillis) {
    return count("delete", key.kind(), counted.delete(key, expectedVersion, timeoutMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> watch(
      List<String> kinds, long afterRevision, long waitMillis) {
    String call = afterRevision == 0 ? "list" : "watch";
    return count(call, String.join(",", kinds), counted.watch(kinds, afterRevision, waitMillis));
  }

  @Override
  public CompletableFuture<PlatformResult> hosts(long timeoutMillis) {
    return count("hosts", "hosts", counted.hosts(timeoutMillis));
  }

  private CompletableFuture<PlatformResult> count(
      String call, String kind, CompletableFuture<PlatformResult> result) {
    return result.whenComplete(
        (outcome, e) ->
            registry
                .counter(
                    "sardinebay_store_calls", "call", call, "kind", kind, "result", word(outcome))
                .increment());
  }

  private static String word(PlatformResult outcome) {
    return outcome instanceof PlatformResult.Failed failed
        ? failed.failure().name()
        : outcome.getClass().getSimpleName();
  }
}
