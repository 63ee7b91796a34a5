package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.sardinebay.FailureDomain;
import org.sardinebay.session.RegisteredHost;

/**
 * Selects the homes of a service: the hosts that connect to its members. A small number of hosts
 * can share the connections of the members. With many hosts, most would have no connection when
 * they need one, so the hosts that are not homes forward their statements to a home.
 *
 * <pre>{@code
 * List<List<RegisteredHost>> ranked = ServiceHomes.ranked(service, domains, hosts);
 * List<RegisteredHost> homes = ServiceHomes.of(ranked, limit, this::usable);
 * }</pre>
 */
public final class ServiceHomes {
  /**
   * The maximum number of hosts that may all be homes, because the status requests of all homes add
   * up at the members.
   */
  public static final int MAX_CONNECTING_HOSTS = 12;

  /** The connections to each member that every host needs if all hosts are homes. */
  private static final int CONNECTIONS_PER_HOST = 2;

  /**
   * The connections to each member that a home needs, for open transactions and single statements.
   */
  private static final int CONNECTIONS_PER_HOME = 5;

  /**
   * Connections kept free for concurrent opens and for connections of hosts that have just ended.
   */
  private static final int RESERVED_CONNECTIONS = 2;

  /**
   * The maximum number of homes in one failure domain: the second takes over when the first ends.
   */
  private static final int MAX_HOMES_PER_DOMAIN = 2;

  private ServiceHomes() {}

  /**
   * Returns whether every host connects to the members itself.
   *
   * @param maxConnections the number of connections that each member accepts from all hosts
   *     together
   * @param hosts the number of hosts
   * @return true if the limit is enough for all of them
   */
  public static boolean everyHostConnects(int maxConnections, int hosts) {
    return hosts <= MAX_CONNECTING_HOSTS
        && hosts * CONNECTIONS_PER_HOST + RESERVED_CONNECTIONS <= maxConnections;
  }

  /**
   * Ranks the hosts of each failure domain that contains a member of a service.
   *
   * @param service the service's name
   * @param domains the failure domains of the members
   * @param hosts all hosts
   * @return one list for each domain; every host with the same input computes the same lists
   */
  public static List<List<RegisteredHost>> ranked(
      String service, Collection<FailureDomain> domains, Collection<RegisteredHost> hosts) {
    Set<String> names = new TreeSet<>();
    domains.forEach(domain -> names.add(domain.value()));
    List<List<RegisteredHost>> ranked = new ArrayList<>();
    for (String name : names) {
      List<RegisteredHost> inDomain =
          hosts.stream().filter(host -> host.failureDomain().value().equals(name)).toList();
      ranked.add(RendezvousOrder.of(service, inDomain, host -> host.id().value()));
    }
    return ranked;
  }

  /**
   * Selects the homes of a service to which not every host connects: the first usable hosts of each
   * failure domain.
   *
   * @param ranked the ranked hosts of each domain
   * @param maxConnections the number of connections that each member accepts from all hosts
   *     together
   * @param usable whether a host is known to reply
   * @return the homes
   */
  public static List<RegisteredHost> of(
      List<List<RegisteredHost>> ranked, int maxConnections, Predicate<RegisteredHost> usable) {
    int homesPerDomain = homesInDomain(maxConnections, ranked.size());
    return ranked.stream()
        .flatMap(inDomain -> inDomain.stream().filter(usable).limit(homesPerDomain))
        .toList();
  }

  private static int homesInDomain(int maxConnections, int domains) {
    int total = (maxConnections - RESERVED_CONNECTIONS) / CONNECTIONS_PER_HOME;
    return Math.max(1, Math.min(MAX_HOMES_PER_DOMAIN, total / Math.max(1, domains)));
  }
}
