package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/**
 * Assigns controllers to databases: one controller watches each database in each failure domain
 * that contains members.
 *
 * <pre>{@code
 * WatcherAssignment watchers = new WatcherAssignment(own, controllers);
 * List<WatchAssignment> assignments = watchers.assignedWatches(databases);
 * }</pre>
 *
 * <p>Rendezvous hashing orders the controllers of each failure domain. The first one that replies
 * watches, and the next two are standbys.
 */
public final class WatcherAssignment {
  private static final int STANDBYS = 2;
  private static final int QUERIED_WATCHERS_PER_DOMAIN = 2;
  private static final int PLATFORM_WATCHERS_PER_DOMAIN = 2;
  private static final String PLATFORM_KEY = "platform";

  private final ControllerInfo own;
  private final List<ControllerInfo> controllers;

  /**
   * Creates an assignment.
   *
   * @param own this process
   * @param controllers all controllers, this process included or not
   */
  public WatcherAssignment(ControllerInfo own, Collection<ControllerInfo> controllers) {
    this.own = own;
    List<ControllerInfo> all = new ArrayList<>(controllers);
    all.removeIf(other -> other.host().equals(own.host()));
    all.add(own);
    this.controllers = List.copyOf(all);
  }

  /**
   * Returns the databases for which this process is the watcher or a standby.
   *
   * @param databases all databases
   * @return the assignments of this process
   */
  public List<WatchAssignment> assignedWatches(Collection<DatabaseRecord> databases) {
    return databases.stream().map(this::assignment).flatMap(Optional::stream).toList();
  }

  /**
   * Returns the controllers that keep a watch request open on the platform: two in each failure
   * domain.
   *
   * @return their hosts
   */
  public List<HostId> platformWatchers() {
    Set<FailureDomain> domains = new TreeSet<>();
    controllers.forEach(controller -> domains.add(controller.failureDomain()));
    return domains.stream()
        .flatMap(
            domain -> ranked(PLATFORM_KEY, domain).stream().limit(PLATFORM_WATCHERS_PER_DOMAIN))
        .map(ControllerInfo::host)
        .toList();
  }

  /**
   * Returns the failure domains that contain members of a database.
   *
   * @param database the database
   * @return the failure domains
   */
  public static Set<FailureDomain> domains(DatabaseRecord database) {
    Set<FailureDomain> domains = new TreeSet<>();
    database.members().stream().map(MemberRecord::failureDomain).forEach(domains::add);
    return domains;
  }

  private Optional<WatchAssignment> assignment(DatabaseRecord database) {
    Set<FailureDomain> domains = domains(database);
    if (!domains.contains(own.failureDomain())) {
      return Optional.empty();
    }
    List<ControllerInfo> ranked = ranked(database.id(), own.failureDomain());
    int ownRank = ranked.indexOf(own);
    if (ownRank > STANDBYS) {
      return Optional.empty();
    }
    List<FailureDomain> rankedDomains =
        RendezvousOrder.of(database.id().value(), domains, FailureDomain::value);
    return Optional.of(
        new WatchAssignment(
            database,
            rankedDomains.indexOf(own.failureDomain()),
            ranked.subList(0, ownRank),
            otherWatchers(database, domains)));
  }

  private List<ControllerInfo> otherWatchers(DatabaseRecord database, Set<FailureDomain> domains) {
    return domains.stream()
        .filter(domain -> !domain.equals(own.failureDomain()))
        .flatMap(
            domain -> ranked(database.id(), domain).stream().limit(QUERIED_WATCHERS_PER_DOMAIN))
        .toList();
  }

  private List<ControllerInfo> ranked(DatabaseId database, FailureDomain domain) {
    return ranked(database.value(), domain);
  }

  private List<ControllerInfo> ranked(String key, FailureDomain domain) {
    List<ControllerInfo> inDomain =
        controllers.stream().filter(other -> other.failureDomain().equals(domain)).toList();
    return RendezvousOrder.of(key, inDomain, other -> other.host().value());
  }
}
