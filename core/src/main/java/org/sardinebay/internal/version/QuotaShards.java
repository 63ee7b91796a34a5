package org.sardinebay.internal.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.FailureDomain;
import org.sardinebay.session.RegisteredHost;
import org.sardinebay.session.Workspace;

/**
 * The division of a workspace's limit into shards of equal size, each kept by one host. Covers a
 * workspace whose callers are spread over all hosts while hosts are down, cut off, or know
 * different fleets: hosts that know the same fleet agree on the keepers without talking to each
 * other, and one keeper more or less stays within the tolerance of the rule.
 *
 * <pre>{@code
 * QuotaShards shards = QuotaShards.of(workspace, rule, hosts, true);
 * shards.keepers().get(0);
 * }</pre>
 *
 * @param keepers the hosts that keep a shard each, in the order of their shards
 * @param share what each of them may grant
 */
public record QuotaShards(List<RegisteredHost> keepers, QuotaShare share) {
  /** Fewer shards would make the loss of one keeper too large a part of the limit. */
  private static final int MIN_SHARDS = 3;

  /** Bounds the number of shards under a rule that tolerates next to nothing. */
  private static final int MAX_SHARDS = 1_000;

  /** How long a host may use a granted token that no statement was waiting for, in milliseconds. */
  public static final long TOKEN_VALIDITY_MILLIS = 250;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Copies the list. */
  public QuotaShards {
    keepers = List.copyOf(keepers);
  }

  /**
   * Returns the number of shards that the rule calls for: the smallest number for which one shard
   * counted twice stays within half of the tolerance.
   *
   * @param workspace a workspace with a rate
   * @param rule the rule
   * @return the number, however many hosts there are
   */
  public static int wanted(Workspace workspace, QuotaRule rule) {
    double half = rule.tolerance(workspace) / 2;
    double limit = rule.windowLimit(workspace);
    double shards = half > 0 ? Math.ceil(limit / half) : MAX_SHARDS;
    return (int) Math.min(Math.max(shards, MIN_SHARDS), MAX_SHARDS);
  }

  /**
   * Divides the limit of a workspace.
   *
   * @param workspace a workspace with a rate
   * @param rule the rule
   * @param hosts all registered hosts, whether they are up or not
   * @param complete whether the hosts are those of the whole fleet. Otherwise shards are as small
   *     as in a large fleet, so that many hosts that know few others don't grant the limit several
   *     times
   * @return the keepers and their share
   */
  public static QuotaShards of(
      Workspace workspace, QuotaRule rule, List<RegisteredHost> hosts, boolean complete) {
    return ordered(workspace, rule, order(workspace, hosts), complete);
  }

  /**
   * Returns the hosts in the order in which they keep shards of a workspace: the hosts of each
   * failure domain by rendezvous hash, the domains in turn. So a domain that is down costs no more
   * than its part of the limit, most callers have a keeper near them, and a host that is added
   * replaces one keeper.
   */
  static List<RegisteredHost> order(Workspace workspace, List<RegisteredHost> hosts) {
    String key = workspace.id().value();
    Map<FailureDomain, Deque<RegisteredHost>> byDomain = new HashMap<>();
    for (RegisteredHost host : RendezvousOrder.of(key, hosts, host -> host.id().value())) {
      byDomain.computeIfAbsent(host.failureDomain(), domain -> new ArrayDeque<>()).add(host);
    }
    List<FailureDomain> domains = RendezvousOrder.of(key, byDomain.keySet(), FailureDomain::value);
    List<RegisteredHost> order = new ArrayList<>(hosts.size());
    while (order.size() < hosts.size()) {
      for (FailureDomain domain : domains) {
        Optional.ofNullable(byDomain.get(domain).poll()).ifPresent(order::add);
      }
    }
    return order;
  }

  static QuotaShards ordered(
      Workspace workspace, QuotaRule rule, List<RegisteredHost> order, boolean complete) {
    int wanted = wanted(workspace, rule);
    int shards = Math.min(wanted, order.size());
    return new QuotaShards(
        order.subList(0, shards), share(workspace, rule, complete ? shards : wanted));
  }

  /**
   * Returns the share of each shard. A bucket holds at least one token, since it could grant none
   * otherwise. Its rate is reduced where half of the tolerance doesn't cover the validity of tokens
   * and these larger buckets.
   */
  private static QuotaShare share(Workspace workspace, QuotaRule rule, int shards) {
    if (shards == 0 || rule.windowLimit(workspace) <= 0) {
      return new QuotaShare(0, 0);
    }
    double rate = workspace.operationsPerSecond();
    double capacity = Math.max(1, workspace.burst() / shards);
    double excess =
        rate * TOKEN_VALIDITY_MILLIS / MILLIS_PER_SECOND + capacity * shards - workspace.burst();
    double notCovered = Math.max(0, excess - rule.tolerance(workspace) / 2);
    double reduced = Math.max(0, rate - notCovered / rule.windowSeconds());
    return new QuotaShare(reduced / shards, capacity);
  }
}
