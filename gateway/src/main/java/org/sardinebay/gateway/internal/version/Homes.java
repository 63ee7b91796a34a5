package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.internal.process.DomainDistances;
import org.sardinebay.internal.version.PrimaryAbsence;
import org.sardinebay.internal.version.RendezvousOrder;
import org.sardinebay.internal.version.ServiceHomes;
import org.sardinebay.internal.version.WorkspaceHomes;
import org.sardinebay.session.RegisteredHost;

/**
 * The homes of each service as this host sees them: the hosts that hold connections to its members.
 *
 * <pre>{@code
 * homes.assignAll(services, now);
 * Optional<HomeClient> home = homes.choose(service, excluded, now);
 * }</pre>
 */
public final class Homes {
  /**
   * How long this host connects to no members while it doesn't know the other hosts, in
   * milliseconds. Each host of a fleet that starts together would otherwise take itself for a home
   * of every service.
   */
  private static final long UNKNOWN_FLEET_MILLIS = 1_500;

  /** Interval at which lost and regained hosts may change the homes, in milliseconds. */
  private static final long ASSIGN_INTERVAL_MILLIS = 200;

  private final HostId self;
  private final FailureDomain ownDomain;
  private final DomainDistances distances;
  private final Supplier<Collection<RegisteredHost>> hosts;
  private final Function<RegisteredHost, HomeClient> clientFactory;
  private final Map<HostId, HomeClient> clients = new HashMap<>();
  private final Map<String, Ranking> rankings = new HashMap<>();
  private final WorkspaceHomes workspaceHomes = new WorkspaceHomes();
  private final PrimaryAbsence primaryAbsence = new PrimaryAbsence();
  private Collection<RegisteredHost> knownHosts = List.of();
  private OptionalLong firstAssignedAt = OptionalLong.empty();
  private Collection<RegisteredHost> assignedHosts = List.of();
  private long assignedVersion;
  private long assignedAt;

  /**
   * The ranking of hosts for a service, and the inputs that it was computed from. The preference is
   * the rank of each host by round-trip time, 0 for the nearest.
   */
  private record Ranking(
      Collection<RegisteredHost> hosts,
      Set<FailureDomain> domains,
      List<List<RegisteredHost>> order,
      Map<HostId, Integer> preference) {}

  /**
   * Creates an instance that knows no homes.
   *
   * @param self this host
   * @param ownDomain this host's failure domain
   * @param distances round-trip times between failure domains
   * @param hosts the registered hosts
   * @param clientFactory creates the client of a host
   */
  public Homes(
      HostId self,
      FailureDomain ownDomain,
      DomainDistances distances,
      Supplier<Collection<RegisteredHost>> hosts,
      Function<RegisteredHost, HomeClient> clientFactory) {
    this.self = self;
    this.ownDomain = ownDomain;
    this.distances = distances;
    this.hosts = hosts;
    this.clientFactory = clientFactory;
  }

  /**
   * Updates whether this host is a home of each service, if hosts or services have changed or the
   * last update was long enough ago.
   *
   * @param services the services
   * @param now the current time by this host's clock, in milliseconds
   */
  public void assignAll(Services services, long now) {
    boolean changed = hosts.get() != assignedHosts || services.table().version() != assignedVersion;
    if (!changed && now - assignedAt < ASSIGN_INTERVAL_MILLIS) {
      return;
    }
    assignedAt = now;
    assignedHosts = hosts.get();
    assignedVersion = services.table().version();
    services.all().forEach(service -> assign(service, now));
  }

  private void assign(ServiceRuntime service, long now) {
    Collection<RegisteredHost> all = hosts.get();
    if (!knowsFleet(all, now)) {
      service.updateHome(false, 1, now);
      return;
    }
    if (ServiceHomes.everyHostConnects(service.maxConnections(), all.size())) {
      service.updateHome(true, all.size(), now);
      return;
    }
    List<RegisteredHost> homes = homes(service, all);
    boolean chosen = homes.stream().anyMatch(host -> host.id().equals(self));
    service.updateHome(chosen, homes.size(), now);
  }

  /**
   * Whether the registered hosts are those of the whole fleet: a listing from before this host has
   * registered may miss others that start at the same time.
   */
  private boolean knowsFleet(Collection<RegisteredHost> all, long now) {
    if (firstAssignedAt.isEmpty()) {
      firstAssignedAt = OptionalLong.of(now);
    }
    return now - firstAssignedAt.getAsLong() >= UNKNOWN_FLEET_MILLIS
        || all.stream().anyMatch(host -> host.id().equals(self));
  }

  private List<RegisteredHost> homes(ServiceRuntime service, Collection<RegisteredHost> all) {
    return ServiceHomes.of(
        ranking(service, all).order(),
        service.maxConnections(),
        host -> host.id().equals(self) || client(host).usable());
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

  /**
   * Ranks hosts by distance, nearest first; hosts at the same distance are ranked differently by
   * each host.
   */
  private Map<HostId, Integer> preference(List<List<RegisteredHost>> order) {
    List<RegisteredHost> candidates = order.stream().flatMap(List::stream).toList();
    List<RegisteredHost> sorted =
        RendezvousOrder.of(self.value(), candidates, host -> host.id().value()).stream()
            .sorted(Comparator.comparingLong(this::roundTripMillis))
            .toList();
    Map<HostId, Integer> ranks = new HashMap<>();
    sorted.forEach(host -> ranks.put(host.id(), ranks.size()));
    return ranks;
  }

  private long roundTripMillis(RegisteredHost host) {
    return distances.roundTripMillis(ownDomain, host.failureDomain());
  }

  private HomeClient client(RegisteredHost host) {
    HomeClient known = clients.get(host.id());
    if (known == null || !known.host().equals(host)) {
      known = clientFactory.apply(host);
      clients.put(host.id(), known);
    }
    return known;
  }

  /**
   * Chooses the nearest home for a statement; one that does not answer or has no usable primary
   * only if there is no other. Each host has its own order of homes at the same distance.
   *
   * @param service the service
   * @param excluded hosts that the statement must not be sent to
   * @param now the current time by this host's clock, in milliseconds
   * @return the home, empty if no usable home is known
   */
  public Optional<HomeClient> choose(ServiceRuntime service, Set<HostId> excluded, long now) {
    Collection<RegisteredHost> all = hosts.get();
    Map<HostId, Integer> preference = ranking(service, all).preference();
    Comparator<RegisteredHost> order =
        Comparator.comparing(
            (RegisteredHost host) ->
                client(host).suspected() || reportedWithoutPrimary(service, host.id(), now));
    return homes(service, all).stream()
        .filter(host -> !host.id().equals(self) && !excluded.contains(host.id()))
        .min(order.thenComparing(host -> preference.get(host.id())))
        .map(this::client);
  }

  /**
   * Chooses a home for a statement of a workspace. A statement that only the primary can run goes
   * to a home in the primary's failure domain: the way is as long as by a near home, but a new
   * connection is opened without a round trip to another region, and the members' connections are
   * spread over fewer homes.
   *
   * @param service the service
   * @param workspace the workspace
   * @param needsPrimary whether only the primary can run the statement
   * @param excluded hosts that the statement must not be sent to
   * @param now the current time by this host's clock, in milliseconds
   * @return the home, empty if no usable home is known
   */
  public Optional<HomeClient> chooseForWorkspace(
      ServiceRuntime service,
      WorkspaceId workspace,
      boolean needsPrimary,
      Set<HostId> excluded,
      long now) {
    Collection<RegisteredHost> all = hosts.get();
    Map<HostId, Integer> preference = ranking(service, all).preference();
    List<RegisteredHost> usable =
        homes(service, all).stream()
            .filter(host -> !host.id().equals(self) && !excluded.contains(host.id()))
            .sorted(Comparator.comparing(host -> preference.get(host.id())))
            .toList();
    String name = service.view().service();
    Optional<FailureDomain> firstDomain =
        needsPrimary ? WorkspaceHomes.primaryDomain(service.view().members()) : Optional.empty();
    Optional<RegisteredHost> home =
        workspaceHomes.order(name, workspace, usable, firstDomain, now).stream()
            .min(Comparator.comparing(host -> reportedWithoutPrimary(service, host.id(), now)));
    home.ifPresent(host -> workspaceHomes.sent(name, workspace, host.id(), now));
    return home.map(this::client);
  }

  /**
   * Whether a home in the primary's failure domain can be used, and this host is in another one.
   *
   * @param service the service
   * @return true if {@link #chooseForWorkspace} finds such a home
   */
  public boolean otherHomeNearPrimary(ServiceRuntime service) {
    if (ServiceHomes.everyHostConnects(service.maxConnections(), hosts.get().size())) {
      return false;
    }
    return WorkspaceHomes.primaryDomain(service.view().members())
        .filter(domain -> !domain.equals(ownDomain))
        .filter(
            domain ->
                homes(service, hosts.get()).stream()
                    .anyMatch(host -> host.failureDomain().equals(domain)))
        .isPresent();
  }

  /**
   * Records that a home declined a statement because it has no usable primary.
   *
   * @param service the service
   * @param home the home
   * @param now the current time by this host's clock, in milliseconds
   */
  public void onDeclinedWithoutPrimary(ServiceRuntime service, HostId home, long now) {
    primaryAbsence.reported(service.view().service(), home, now);
  }

  /**
   * Whether a home has recently declined a statement because it has no usable primary.
   *
   * @param service the service
   * @param home the home
   * @param now the current time by this host's clock, in milliseconds
   * @return true if the home probably has none yet
   */
  public boolean reportedWithoutPrimary(ServiceRuntime service, HostId home, long now) {
    return primaryAbsence.recent(service.view().service(), home, now);
  }

  /**
   * Returns the other hosts that hold connections to a service's members and can be used.
   *
   * @param service the service
   * @return their clients, nearest first
   */
  public List<HomeClient> otherHomes(ServiceRuntime service) {
    Collection<RegisteredHost> all = hosts.get();
    Ranking ranking = ranking(service, all);
    boolean everyHost = ServiceHomes.everyHostConnects(service.maxConnections(), all.size());
    List<RegisteredHost> holders =
        everyHost ? ranking.order().stream().flatMap(List::stream).toList() : homes(service, all);
    return holders.stream()
        .filter(host -> !host.id().equals(self))
        .sorted(Comparator.comparingInt(host -> ranking.preference().get(host.id())))
        .map(this::client)
        .filter(client -> client.usable() && !client.suspected())
        .toList();
  }

  /**
   * Returns the client of another host.
   *
   * @param id the host
   * @return the client, empty if the host is this one or is not registered
   */
  public Optional<HomeClient> client(HostId id) {
    HomeClient known = clients.get(id);
    if (known != null && !id.equals(self)) {
      return Optional.of(known);
    }
    return hosts.get().stream()
        .filter(host -> host.id().equals(id) && !id.equals(self))
        .findFirst()
        .map(this::client);
  }

  /**
   * Probes hosts that do not respond, and removes those that are no longer registered.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    Collection<RegisteredHost> all = hosts.get();
    if (all != knownHosts) {
      knownHosts = all;
      clients.values().removeIf(client -> !all.contains(client.host()));
    }
    new ArrayList<>(clients.values()).forEach(client -> client.tick(now));
  }
}
