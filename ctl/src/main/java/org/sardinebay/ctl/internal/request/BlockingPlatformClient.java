package org.sardinebay.ctl.internal.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformClient;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformResult;

/**
 * A client of the platform whose calls block until the result arrives.
 *
 * <pre>{@code
 * PlatformResult result = platform.read(key);
 * }</pre>
 *
 * <p>An interrupted call returns {@link PlatformFailure#NO_ANSWER}, and the thread's interrupt
 * status stays set.
 */
public final class BlockingPlatformClient {
  private final PlatformClient client;
  private final long timeoutMillis;

  /**
   * Creates a blocking client.
   *
   * @param client the asynchronous client
   * @param timeoutMillis the timeout of reads, writes and deletions in milliseconds
   */
  public BlockingPlatformClient(PlatformClient client, long timeoutMillis) {
    this.client = client;
    this.timeoutMillis = timeoutMillis;
  }

  PlatformResult read(ObjectKey key) {
    return await(client.read(key, timeoutMillis));
  }

  PlatformResult write(ObjectKey key, long expectedVersion, ObjectNode body) {
    return await(client.write(key, expectedVersion, body, timeoutMillis));
  }

  PlatformResult delete(ObjectKey key, long expectedVersion) {
    return await(client.delete(key, expectedVersion, timeoutMillis));
  }

  PlatformResult list(String kind) {
    return await(client.watch(List.of(kind), 0, 0));
  }

  PlatformResult watch(String kind, long afterRevision, long waitMillis) {
    return await(client.watch(List.of(kind), afterRevision, waitMillis));
  }

  private static PlatformResult await(CompletableFuture<PlatformResult> future) {
    try {
      return future.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new PlatformResult.Failed(PlatformFailure.NO_ANSWER);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a platform client must not fail with an exception", e);
    }
  }
}
