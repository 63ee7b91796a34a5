package org.sardinebay.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's object service. Every call counts towards the platform's rate limit; a
 * pending watch counts as one call.
 *
 * <pre>{@code
 * platform.read(new ObjectKey("databases", "contracts-1"), 500)
 *     .thenAccept(result -> ...);
 * }</pre>
 *
 * Failures are returned as {@link PlatformResult.Failed}, never as exceptions. A write whose result
 * is {@link PlatformFailure#NO_ANSWER} may have taken effect: read the object again before
 * retrying.
 */
public interface PlatformClient {
  /**
   * Reads one object.
   *
   * @param key the object's key
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @return {@link PlatformResult.Found}, {@link PlatformResult.Absent} or a failure
   */
  CompletableFuture<PlatformResult> read(ObjectKey key, long timeoutMillis);

  /**
   * Writes one object if its current version is the expected one.
   *
   * @param key the object's key
   * @param expectedVersion the version to replace, 0 to create
   * @param body the new body
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @return {@link PlatformResult.Found} with the new version, {@link PlatformResult.Conflict} or a
   *     failure
   */
  CompletableFuture<PlatformResult> write(
      ObjectKey key, long expectedVersion, ObjectNode body, long timeoutMillis);

  /**
   * Deletes one object if its current version is the expected one.
   *
   * @param key the object's key
   * @param expectedVersion the version to delete
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @return {@link PlatformResult.Absent}, {@link PlatformResult.Conflict} or a failure
   */
  CompletableFuture<PlatformResult> delete(ObjectKey key, long expectedVersion, long timeoutMillis);

  /**
   * Lists the objects of the given kinds that changed after a revision, and waits until there is at
   * least one. With {@code afterRevision} 0, all objects are listed immediately.
   *
   * @param kinds the kinds to watch
   * @param afterRevision the last revision that was received
   * @param waitMillis how long the platform may wait for a change, in milliseconds
   * @return {@link PlatformResult.Listing} or a failure
   */
  CompletableFuture<PlatformResult> watch(List<String> kinds, long afterRevision, long waitMillis);

  /**
   * Lists all objects of a kind as they were some seconds ago at most. Costs the platform less than
   * a current listing where it makes a difference.
   *
   * @param kind the kind
   * @return {@link PlatformResult.Listing} or a failure. An object that is missing may exist
   */
  CompletableFuture<PlatformResult> listStale(String kind);

  /**
   * Reads the list of live and leaving hosts, which lags behind the actual state.
   *
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @return {@link PlatformResult.Hosts} or a failure
   */
  CompletableFuture<PlatformResult> hosts(long timeoutMillis);
}
