package org.sardinebay.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object service. Every call counts against its rate, a waiting watch as one.
 *
 * <pre>{@code
 * platform.read(new ObjectKey("databases", "contracts-1"), 500)
 *     .thenAccept(result -> ...);
 * }</pre>
 *
 * Failures arrive as {@link PlatformResult.Failed}, never as exceptions. A write whose result is
 * {@link PlatformFailure#NO_ANSWER} may have taken effect: read it back before trying again.
 */
public interface PlatformClient {
  /**
   * Reads one object.
   *
   * @param key which
   * @param timeoutMillis how long to wait
   * @return {@link PlatformResult.Found}, {@link PlatformResult.Absent} or a failure
   */
  CompletableFuture<PlatformResult> read(ObjectKey key, long timeoutMillis);

  /**
   * Writes one object if its version is the expected one.
   *
   * @param key which
   * @param expectedVersion the version to replace, 0 to create
   * @param body the new body
   * @param timeoutMillis how long to wait
   * @return {@link PlatformResult.Found} with the new version, {@link PlatformResult.Conflict} or a
   *     failure
   */
  CompletableFuture<PlatformResult> write(
      ObjectKey key, long expectedVersion, ObjectNode body, long timeoutMillis);

  /**
   * Deletes one object if its version is the expected one.
   *
   * @param key which
   * @param expectedVersion the version to delete
   * @param timeoutMillis how long to wait
   * @return {@link PlatformResult.Absent}, {@link PlatformResult.Conflict} or a failure
   */
  CompletableFuture<PlatformResult> delete(ObjectKey key, long expectedVersion, long timeoutMillis);

  /**
   * Lists the objects of some kinds that changed after a revision, waiting for the first change.
   * With {@code afterRevision} 0 all objects are listed at once.
   *
   * @param kinds the kinds wanted
   * @param afterRevision the last revision seen
   * @param waitMillis how long the platform may hold the call while nothing changes
   * @return {@link PlatformResult.Listing} or a failure
   */
  CompletableFuture<PlatformResult> watch(List<String> kinds, long afterRevision, long waitMillis);

  /**
   * Reads the list of live and leaving hosts, which lags behind the truth.
   *
   * @param timeoutMillis how long to wait
   * @return {@link PlatformResult.Hosts} or a failure
   */
  CompletableFuture<PlatformResult> hosts(long timeoutMillis);
}
