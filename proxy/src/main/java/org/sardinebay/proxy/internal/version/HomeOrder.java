package org.sardinebay.proxy.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.internal.version.ConfigSnapshot;
import org.sardinebay.internal.version.HomeSelector;
import org.sardinebay.platform.HostEntry;
import org.sardinebay.proxy.internal.process.ProxyIdentity;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.ProxyRecord;

/**
 * Determines, for one configuration, the order in which a proxy tries the homes of a database.
 *
 * <pre>{@code
 * List<Home> homes = new HomeOrder(configSnapshot, identity).homes(database);
 * }</pre>
 */
public final class HomeOrder {
  private static final int HOMES_PER_DOMAIN = 2;

  private final ProxyIdentity identity;
  private final List<ProxyRecord> proxies;

  /**
   * Creates the order for one configuration.
   *
   * @param configSnapshot the configuration
   * @param identity the identity of this proxy
   */
  public HomeOrder(ConfigSnapshot configSnapshot, ProxyIdentity identity) {
    this.identity = identity;
    this.proxies = proxiesOnActiveHosts(configSnapshot.proxies().values(), configSnapshot.hosts());
  }

  /**
   * Returns the proxies on hosts that are listed as not leaving, or all proxies if there are none.
   */
  private static List<ProxyRecord> proxiesOnActiveHosts(
      Collection<ProxyRecord> proxies, Collection<HostEntry> hosts) {
    Set<String> activeHosts =
        hosts.stream()
            .filter(host -> !host.leaving())
            .map(HostEntry::name)
            .collect(Collectors.toCollection(HashSet::new));
    List<ProxyRecord> active =
        proxies.stream().filter(proxy -> activeHosts.contains(proxy.host().value())).toList();
    return active.isEmpty() ? List.copyOf(proxies) : active;
  }

  /**
   * The homes of a database: those in this proxy's failure domain first, then those in other
   * failure domains.
   *
   * @param database the configuration record of the database
   * @return the homes in the order in which to try them
   */
  public List<Home> homes(DatabaseRecord database) {
    List<Home> local = new ArrayList<>();
    List<Home> remote = new ArrayList<>();
    for (FailureDomain domain : HomeSelector.domains(database)) {
      List<ProxyRecord> ranked = HomeSelector.ranked(database.id(), domain, proxies);
      List<Home> homes = ranked.stream().limit(HOMES_PER_DOMAIN).map(this::home).toList();
      if (domain.equals(identity.failureDomain())) {
        local.addAll(homes);
      } else {
        remote.addAll(homes);
      }
    }
    local.addAll(remote);
    return local;
  }

  /**
   * The rank of this proxy among the homes of a database in its failure domain.
   *
   * @param database the configuration record of the database
   * @return 0 for the first home, 1 for the standby, {@code Integer.MAX_VALUE} if this proxy is
   *     neither
   */
  public int rank(DatabaseRecord database) {
    boolean hasLocalMember = HomeSelector.domains(database).contains(identity.failureDomain());
    if (!hasLocalMember) {
      return Integer.MAX_VALUE;
    }
    List<HostId> ranked =
        HomeSelector.ranked(database.id(), identity.failureDomain(), proxies).stream()
            .map(ProxyRecord::host)
            .toList();
    int rank = ranked.indexOf(identity.host());
    return rank < 0 || rank >= HOMES_PER_DOMAIN ? Integer.MAX_VALUE : rank;
  }

  private Home home(ProxyRecord proxy) {
    boolean self = proxy.host().equals(identity.host());
    return new Home(proxy.host(), proxy.peerAddress(), self);
  }
}
