package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.List;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;
import org.sardinebay.record.ProxyRecord;

/**
 * Chooses the home proxies of a database by rendezvous hashing: in each failure domain with a
 * member of it, the proxy that ranks first holds connections to all members, and the second a
 * reserve.
 *
 * <pre>{@code
 * List<ProxyRecord> ranked = HomeSelector.ranked(database, domain, proxies);
 * }</pre>
 */
public final class HomeSelector {
  private HomeSelector() {}

  /**
   * The proxies of one failure domain in their order for a database.
   *
   * @param database the database
   * @param domain the failure domain
   * @param proxies all proxies
   * @return the domain's proxies, the home first
   */
  public static List<ProxyRecord> ranked(
      DatabaseId database, FailureDomain domain, Collection<ProxyRecord> proxies) {
    List<ProxyRecord> here =
        proxies.stream().filter(proxy -> proxy.failureDomain().equals(domain)).toList();
    return RendezvousOrder.of(database.value(), here, proxy -> proxy.host().value());
  }

  /**
   * The failure domains that hold homes of a database.
   *
   * @param database the database's record
   * @return the domains of its members, in order of name
   */
  public static List<FailureDomain> domains(DatabaseRecord database) {
    return database.members().stream()
        .map(MemberRecord::failureDomain)
        .distinct()
        .sorted()
        .toList();
  }
}
