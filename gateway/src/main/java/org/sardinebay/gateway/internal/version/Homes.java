package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
import org.sardinebay.internal.process.DomainDistances;
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
  private final DomainDistances distances;
  private final Supplier<Collection<RegisteredHost>> hosts;
  private final Function<RegisteredHost, HomeLink> connector;
  private final Map<HostId, HomeLink> links = new HashMap<>();
  private final Map<String, Ranking> rankings = new HashMap<>();
  private Collection<RegisteredHost> linkedHosts = List.of();

  /** The order of hosts for a service, and what it was worked out from. */
  private record Ranking(
      Collection<RegisteredHost> hosts,
      Set<FailureDomain> domains,
      List<List<RegisteredHost>> order,
      Map<HostId, Integer> preference) {}

  /**
   * No homes are known yet.
   *
   * @param self this host
   * @param here where it stands
   * @param distances how far failure domains are from each other
   * @param hosts the registered hosts
   * @param connector makes the link to a host
   */
  public Homes(
      HostId self,
      FailureDomain here,
      DomainDistances distances,
      Supplier<Collection<RegisteredHost>> hosts,
      Function<RegisteredHost, HomeLink> connector) {
    this.self = self;
    this.here = here;
    this.distances = distances;
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
    return ServiceHomes.of(
        ranking(service, all).order(),
        service.maxConnections(),
        host -> host.id().equals(self) || link(host).usable());
  }

  private Ranking ranking(ServiceRuntime service, Collection<RegisteredHost> all) {
    String name = service.view().service();
    Set<FailureDomain> domains = service.failureDomains();
    Ranking known = rankings.get(name);
    if (known != null && known.hosts() == all && known.domains().equals(domains)) {
      return known;
    }
    List<List<RegisteredHost>> order = ServiceHomes.ranked(name, domains, all);
    Ranking ranking = new Ranking(all, domains, order, preference(order));
    rankings.put(name, ranking);
    return ranking;
  }

  /** The nearest host first; of equally near ones each host has its own order. */
  private Map<HostId, Integer> preference(List<List<RegisteredHost>> order) {
    List<RegisteredHost> candidates = order.stream().flatMap(List::stream).toList();
    List<RegisteredHost> sorted =
        RendezvousOrder.of(self.value(), candidates, host -> host.id().value()).stream()
            .sorted(Comparator.comparingLong(this::distanceMillis))
            .toList();
    Map<HostId, Integer> places = new HashMap<>();
    sorted.forEach(host -> places.put(host.id(), places.size()));
    return places;
  }

  private long distanceMillis(RegisteredHost host) {
    return distances.distanceMillis(here, host.failureDomain());
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
    Collection<RegisteredHost> all = hosts.get();
    Map<HostId, Integer> preference = ranking(service, all).preference();
    return homes(service, all).stream()
        .filter(host -> !host.id().equals(self) && !excluded.contains(host.id()))
        .min(Comparator.comparingInt(host -> preference.get(host.id())))
        .map(this::link);
  }

  /**
   * The other hosts that hold connections to a service's members and answer.
   *
   * @param service the service
   * @return links to them, the nearest first
   */
  public List<HomeLink> others(ServiceRuntime service) {
    Collection<RegisteredHost> all = hosts.get();
    Ranking ranking = ranking(service, all);
    boolean everyHost = ServiceHomes.everyHost(service.maxConnections(), all.size());
    List<RegisteredHost> holders =
        everyHost ? ranking.order().stream().flatMap(List::stream).toList() : homes(service, all);
    return holders.stream()
        .filter(host -> !host.id().equals(self))
        .sorted(Comparator.comparingInt(host -> ranking.preference().get(host.id())))
        .map(this::link)
        .filter(HomeLink::usable)
        .toList();
  }

  /**
   * Probes hosts that are silent, and forgets those that are not registered any more.
   *
   * @param now the time
   */
  public void tick(long now) {
    Collection<RegisteredHost> all = hosts.get();
    if (all != linkedHosts) {
      linkedHosts = all;
      links.values().removeIf(link -> !all.contains(link.host()));
    }
    new ArrayList<>(links.values()).forEach(link -> link.tick(now));
  }
}
