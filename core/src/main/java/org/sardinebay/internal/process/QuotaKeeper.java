package org.sardinebay.internal.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.internal.version.QuotaShards;
import org.sardinebay.internal.version.QuotaShare;
import org.sardinebay.internal.version.QuotaView;

/**
 * The token buckets of the shards that this host keeps. Covers many hosts that run operations of
 * one workspace at the same time: each gets tokens only from the keepers, whose buckets together
 * hold the workspace's limit.
 *
 * <pre>{@code
 * keeper.update(view);
 * QuotaKeeper.Grant grant = keeper.grant(workspace, 3, now);
 * }</pre>
 *
 * <p>Thread-safe: calls of other hosts are answered on the threads of their connections.
 */
public final class QuotaKeeper {
  /**
   * The tokens of a new bucket. What was granted before a restart is unknown, so the burst isn't
   * granted again.
   */
  private static final double INITIAL_TOKENS = 1;

  /** The longest wait that is stated to a host, in milliseconds; a bucket may never fill. */
  private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

  /** How long a host may take before it asks again if it asked the wrong keeper, milliseconds. */
  private static final long NOT_KEPT_RETRY_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final HostId self;
  private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();
  private QuotaView view;

  /**
   * An answer to a host that asked for tokens.
   *
   * @param granted the number of tokens granted
   * @param retryAfterMillis if fewer were granted than wanted, the time until there is another one,
   *     in milliseconds
   */
  public record Grant(int granted, long retryAfterMillis) {}

  /**
   * The state of a bucket.
   *
   * @param tokens the tokens in it
   * @param share the share of the limit that it grants; zero if the shard is not kept by this host
   *     any more
   */
  public record BucketState(double tokens, QuotaShare share) {}

  /**
   * Creates a keeper without buckets.
   *
   * @param self this host
   * @param view the fleet and the workspaces
   */
  public QuotaKeeper(HostId self, QuotaView view) {
    this.self = self;
    this.view = view;
  }

  /**
   * Applies another view of the fleet and the workspaces. Tokens are kept up to the new capacity;
   * buckets of workspaces that are gone are removed.
   *
   * @param newer the view
   */
  public synchronized void update(QuotaView newer) {
    view = newer;
    buckets.keySet().removeIf(id -> !newer.configured(id));
  }

  /**
   * Grants tokens.
   *
   * @param id the workspace
   * @param wanted the maximum number of tokens to grant
   * @param now the current time by this host's clock, in milliseconds
   * @return the answer; grants nothing if this host keeps no shard of the workspace
   */
  public synchronized Grant grant(WorkspaceId id, int wanted, long now) {
    Optional<QuotaShare> share = share(id);
    if (share.isEmpty()) {
      return new Grant(0, NOT_KEPT_RETRY_MILLIS);
    }
    Bucket bucket = buckets.computeIfAbsent(id, key -> new Bucket(now));
    bucket.refill(share.get(), now);
    int granted = (int) Math.min(Math.max(wanted, 0), Math.floor(bucket.tokens));
    bucket.tokens -= granted;
    return new Grant(granted, granted < wanted ? bucket.millisUntilNext() : 0);
  }

  /**
   * Returns this host's share of a workspace's limit. A host that is no keeper by its own view
   * grants nothing, so that shards are counted twice only while views differ.
   */
  private Optional<QuotaShare> share(WorkspaceId id) {
    return view.shards(id)
        .filter(shards -> shards.keepers().stream().anyMatch(host -> host.id().equals(self)))
        .map(QuotaShards::share);
  }

  /**
   * Returns the state of the buckets.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the buckets of the workspaces that other hosts or this one asked for
   */
  public synchronized Map<WorkspaceId, BucketState> buckets(long now) {
    Map<WorkspaceId, BucketState> states = new TreeMap<>();
    buckets.forEach(
        (id, bucket) -> {
          QuotaShare share = share(id).orElse(new QuotaShare(0, 0));
          states.put(id, new BucketState(bucket.tokensAt(share, now), share));
        });
    return states;
  }

  private static final class Bucket {
    private double tokens = INITIAL_TOKENS;
    private double tokensPerSecond;
    private long filledAt;

    private Bucket(long now) {
      filledAt = now;
    }

    /** A limit that was raised applies from the first call after it, for the time from then on. */
    private void refill(QuotaShare share, long now) {
      tokens = tokensAt(share, now);
      tokensPerSecond = share.tokensPerSecond();
      filledAt = now;
    }

    private double tokensAt(QuotaShare share, long now) {
      double rate = Math.min(tokensPerSecond, share.tokensPerSecond());
      double filled = tokens + Math.max(0, now - filledAt) * rate / MILLIS_PER_SECOND;
      return Math.min(filled, share.capacity());
    }

    private long millisUntilNext() {
      if (tokensPerSecond <= 0) {
        return MAX_RETRY_AFTER_MILLIS;
      }
      double missing = Math.max(0, 1 - tokens);
      long millis = (long) Math.ceil(missing / tokensPerSecond * MILLIS_PER_SECOND);
      return Math.min(Math.max(millis, 1), MAX_RETRY_AFTER_MILLIS);
    }
  }
}
