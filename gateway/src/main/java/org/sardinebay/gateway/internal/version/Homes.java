package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.connection.HomeLink;
import org.sardinebay.internal.process.Topology;
import org.sardinebay.internal.version.RendezvousOrder;
import org.sardinebay.internal.version.ServiceHomes;
import org.sardinebay.session.RegisteredHost;

/**
 * Which hosts connect to the members of which service, as this host sees it.
 *
 * <pre>{@code
 * homes.assign(service, now);
 * Optional<HomeLink> home = homes.choose(service, excluded);
 * }</pre>
 */
public final class Homes {
  private final HostId self;
  private final FailureDomain here;
  private final Topology topology;
  private final Supplier<Collection<RegisteredHost>> hosts;
  private final Function<RegisteredHost, HomeLink> connector;
  private final Map<HostId, HomeLink> links = new HashMap<>();
  private final Map<String, Ranking> rankings = new HashMap<>();

  /** The order of hosts for a service, and what it was worked out from. */
  private record Ranking(
      Collection<RegisteredHost> hosts,
      Set<FailureDomain> domains,
      List<List<RegisteredHost>> order) {}

  /**
   * No homes are known yet.
   *
   * @param self this host
   * @param here where it stands
   * @param topology how far failure domains are from each other
   * @param hosts the registered hosts
   * @param connector makes the link to a host
   */
  public Homes(
      HostId self,
      FailureDomain here,
      Topology topology,
      Supplier<Collection<RegisteredHost>> hosts,
      Function<RegisteredHost, HomeLink> connector) {
    this.self = self;
    this.here = here;
    this.topology = topology;
    this.hosts = hosts;
    this.connector = connector;
  }

  /**
   * Tells a service whether this host is one of its homes, and how many there are.
   *
   * @param service the service
   * @param now the time
   */
  public void assign(ServiceRuntime service, long now) {
    Collection<RegisteredHost> all = hosts.get();
    if (ServiceHomes.everyHost(service.maxConnections(), all.size())) {
      service.home(true, all.size(), now);
      return;
    }
    List<RegisteredHost> homes = homes(service, all);
    boolean own = homes.stream().anyMatch(host -> host.id().equals(self));
    service.home(own, homes.size(), now);
  }

  private List<RegisteredHost> homes(ServiceRuntime service, Collection<RegisteredHost> all) {
    String name = service.view().service();
    Set<FailureDomain> domains = service.failureDomains();
    Ranking ranking = rankings.get(name);
    if (ranking == null || ranking.hosts() != all || !ranking.domains().equals(domains)) {
      ranking = new Ranking(all, domains, ServiceHomes.ranked(name, domains, all));
      rankings.put(name, ranking);
    }
    return ServiceHomes.of(
        ranking.order(),
        service.maxConnections(),
        host -> host.id().equals(self) || link(host).usable());
  }

  private HomeLink link(RegisteredHost host) {
    HomeLink known = links.get(host.id());
    if (known == null || !known.host().equals(host)) {
      known = connector.apply(host);
      links.put(host.id(), known);
    }
    return known;
  }

  /**
   * Chooses the home for a statement: the nearest; of equally near ones each host has its own
   * order.
   *
   * @param service the service
   * @param excluded hosts that it must not go to
   * @return the home, empty if none is known that answers
   */
  public Optional<HomeLink> choose(ServiceRuntime service, Set<HostId> excluded) {
    List<RegisteredHost> candidates =
        homes(service, hosts.get()).stream()
            .filter(host -> !host.id().equals(self) && !excluded.contains(host.id()))
            .toList();
    RegisteredHost best = null;
    long bestMillis = Long.MAX_VALUE;
    for (RegisteredHost host : RendezvousOrder.of(self.value(), candidates, h -> h.id().value())) {
      long millis = topology.distanceMillis(here, host.failureDomain());
      if (millis < bestMillis) {
        best = host;
        bestMillis = millis;
      }
    }
    return Optional.ofNullable(best).map(this::link);
  }

  /**
   * Probes hosts that are silent.
   *
   * @param now the time
   */
  public void tick(long now) {
    new ArrayList<>(links.values()).forEach(link -> link.tick(now));
  }
}
