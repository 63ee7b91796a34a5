package org.sardinebay.internal.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.version.RendezvousOrder;
import org.sardinebay.session.RegisteredHost;

/**
 * Selects the hosts that watch the platform's store closely, and the hosts that another one polls
 * for changes. The store's call rate grows more slowly than the fleet, so in a large fleet a few
 * hosts of each failure domain notice a lost watch within seconds and the others learn of changes
 * from them; their own watches only cover the loss of all of these.
 *
 * <pre>{@code
 * boolean closely = StoreWatchers.watchesClosely(self, hosts);
 * var sources = StoreWatchers.sources(self, ownDomain, hosts, Nearness.OWN_DOMAIN);
 * }</pre>
 */
public final class StoreWatchers {
  /** Up to this number of hosts, all of them watch the store closely. */
  private static final int SMALL_FLEET = 12;

  /** In a larger fleet, one watcher of a failure domain may stop while the other one goes on. */
  private static final int WATCHERS_PER_DOMAIN = 2;

  private static final String RANKING_KEY = "store-watchers";

  /** Which watchers a host prefers as the source of changes. */
  public enum Nearness {
    /** The watchers in the host's own failure domain. */
    OWN_DOMAIN,
    /** The watchers in other failure domains, reachable when the own domain's watchers are not. */
    OTHER_DOMAINS
  }

  private StoreWatchers() {}

  /**
   * Returns whether a host should notice a lost watch within seconds.
   *
   * @param self the host
   * @param hosts all registered hosts
   * @return true if the host is a watcher, or isn't registered yet
   */
  public static boolean watchesClosely(HostId self, Collection<RegisteredHost> hosts) {
    boolean registered = hosts.stream().anyMatch(host -> host.id().equals(self));
    return !registered || watchers(hosts).stream().anyMatch(host -> host.id().equals(self));
  }

  /**
   * Returns the watchers that a host should poll. Each host has its own order, so that the polls
   * are spread over the watchers.
   *
   * @param self the host
   * @param ownDomain the host's failure domain
   * @param hosts all registered hosts
   * @param nearness which watchers to poll
   * @return the watchers in the order of preference, without the host itself
   */
  public static List<RegisteredHost> sources(
      HostId self, FailureDomain ownDomain, Collection<RegisteredHost> hosts, Nearness nearness) {
    Predicate<RegisteredHost> inOwnDomain = host -> host.failureDomain().equals(ownDomain);
    List<RegisteredHost> sources =
        watchers(hosts).stream()
            .filter(nearness == Nearness.OWN_DOMAIN ? inOwnDomain : inOwnDomain.negate())
            .toList();
    return spread(self, sources);
  }

  /**
   * Orders hosts differently for each host that polls them.
   *
   * @param self the polling host
   * @param hosts the hosts
   * @return the hosts without the polling one
   */
  public static List<RegisteredHost> spread(HostId self, Collection<RegisteredHost> hosts) {
    return RendezvousOrder.of(self.value(), hosts, host -> host.id().value()).stream()
        .filter(host -> !host.id().equals(self))
        .toList();
  }

  private static List<RegisteredHost> watchers(Collection<RegisteredHost> hosts) {
    if (hosts.size() <= SMALL_FLEET) {
      return List.copyOf(hosts);
    }
    Map<FailureDomain, List<RegisteredHost>> byDomain =
        hosts.stream()
            .collect(
                Collectors.groupingBy(
                    RegisteredHost::failureDomain,
                    () -> new TreeMap<>(Comparator.comparing(FailureDomain::value)),
                    Collectors.toList()));
    return byDomain.values().stream()
        .flatMap(
            inDomain ->
                RendezvousOrder.of(RANKING_KEY, inDomain, host -> host.id().value()).stream()
                    .limit(WATCHERS_PER_DOMAIN))
        .toList();
  }
}
