package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.List;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;
import org.sardinebay.record.ProxyRecord;

/**
 * Selects the home proxies of a database by rendezvous hashing. In each failure domain that
 * contains a member of the database, the proxy with the first rank keeps connections to all
 * members, and the second one keeps a reserve.
 *
 * <pre>{@code
 * List<ProxyRecord> ranked = HomeSelector.ranked(database, domain, proxies);
 * }</pre>
 */
public final class HomeSelector {
  private HomeSelector() {}

  /**
   * Ranks the proxies of one failure domain for a database.
   *
   * @param database the database
   * @param domain the failure domain
   * @param proxies all proxies
   * @return the domain's proxies, the home first
   */
  public static List<ProxyRecord> ranked(
      DatabaseId database, FailureDomain domain, Collection<ProxyRecord> proxies) {
    List<ProxyRecord> inDomain =
        proxies.stream().filter(proxy -> proxy.failureDomain().equals(domain)).toList();
    return RendezvousOrder.of(database.value(), inDomain, proxy -> proxy.host().value());
  }

  /**
   * Returns the failure domains that contain homes of a database.
   *
   * @param database the database's record
   * @return the domains of its members, sorted by name
   */
  public static List<FailureDomain> domains(DatabaseRecord database) {
    return database.members().stream()
        .map(MemberRecord::failureDomain)
        .distinct()
        .sorted()
        .toList();
  }
}
