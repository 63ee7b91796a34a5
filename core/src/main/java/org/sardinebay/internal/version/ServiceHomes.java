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
 * Chooses the homes of a service: the hosts that hold connections to its members. A few hosts share
 * the members' connections out among themselves; with many, most would hold none at the moment they
 * need one, so the statements of all others go by way of a home.
 *
 * <pre>{@code
 * List<List<RegisteredHost>> ranked = ServiceHomes.ranked(service, domains, hosts);
 * List<RegisteredHost> homes = ServiceHomes.of(ranked, limit, this::usable);
 * }</pre>
 */
public final class ServiceHomes {
  /** Above so many hosts, not all of them are homes: what each asks members for adds up. */
  public static final int MOST_HOSTS_WITHOUT_HOMES = 12;

  /** Connections that each host should have to itself at a member if all hosts are homes. */
  private static final int CONNECTIONS_A_HOST = 2;

  /** Connections at a member that a home should have: some open transactions, some statements. */
  private static final int CONNECTIONS_A_HOME = 5;

  /** Connections left free, for opens that cross and for those of hosts that have just ended. */
  private static final int RESERVE = 2;

  /** Homes in one failure domain: the second takes over when the first ends. */
  private static final int MOST_HOMES_A_DOMAIN = 2;

  private ServiceHomes() {}

  /**
   * Whether every host connects to the members itself.
   *
   * @param maxConnections connections that each member accepts from all hosts
   * @param hosts how many hosts there are
   * @return true if the limit is enough for all of them
   */
  public static boolean everyHost(int maxConnections, int hosts) {
    return hosts <= MOST_HOSTS_WITHOUT_HOMES
        && hosts * CONNECTIONS_A_HOST + RESERVE <= maxConnections;
  }

  /**
   * Ranks the hosts of each failure domain with a member for a service.
   *
   * @param service the service's name
   * @param domains where the members stand
   * @param hosts all hosts
   * @return one list for each domain, the same at every host that knows the same
   */
  public static List<List<RegisteredHost>> ranked(
      String service, Collection<FailureDomain> domains, Collection<RegisteredHost> hosts) {
    Set<String> names = new TreeSet<>();
    domains.forEach(domain -> names.add(domain.value()));
    List<List<RegisteredHost>> ranked = new ArrayList<>();
    for (String name : names) {
      List<RegisteredHost> here =
          hosts.stream().filter(host -> host.failureDomain().value().equals(name)).toList();
      ranked.add(RendezvousOrder.of(service, here, host -> host.id().value()));
    }
    return ranked;
  }

  /**
   * Chooses the homes of a service that not every host connects to: the first usable hosts of each
   * failure domain.
   *
   * @param ranked the domains' hosts
   * @param maxConnections connections that each member accepts from all hosts
   * @param usable whether a host answers, as far as is known
   * @return the homes
   */
  public static List<RegisteredHost> of(
      List<List<RegisteredHost>> ranked, int maxConnections, Predicate<RegisteredHost> usable) {
    int each = homesInDomain(maxConnections, ranked.size());
    return ranked.stream().flatMap(here -> here.stream().filter(usable).limit(each)).toList();
  }

  private static int homesInDomain(int maxConnections, int domains) {
    int inAll = (maxConnections - RESERVE) / CONNECTIONS_A_HOME;
    return Math.max(1, Math.min(MOST_HOMES_A_DOMAIN, inAll / Math.max(1, domains)));
  }
}
