package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.sardinebay.DatabaseId;
import org.sardinebay.FailureDomain;
import org.sardinebay.HostId;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/**
 * Says which controllers watch a database: one in each failure domain that holds members.
 *
 * <pre>{@code
 * WatcherAssignment assignment = new WatcherAssignment(own, controllers);
 * OptionalInt rank = assignment.rank(database, silentHosts::contains);
 * }</pre>
 *
 * <p>In each failure domain the controllers are ordered by rendezvous hashing; the first that is
 * not silent watches, and the next one stands by.
 */
public final class WatcherAssignment {
  private static final int ASKED_PER_DOMAIN = 2;

  private final ControllerInfo own;
  private final List<ControllerInfo> controllers;

  /**
   * Creates an assignment.
   *
   * @param own this process
   * @param controllers all controllers, this process included or not
   */
  public WatcherAssignment(ControllerInfo own, List<ControllerInfo> controllers) {
    this.own = own;
    List<ControllerInfo> all = new ArrayList<>(controllers);
    if (all.stream().noneMatch(other -> other.host().equals(own.host()))) {
      all.add(own);
    }
    this.controllers = List.copyOf(all);
  }

  /**
   * The place of this process among the watchers of a database. Watchers act in this order.
   *
   * @param database the database
   * @param silent which hosts of the own failure domain do not answer
   * @return 0 for the first, or empty if this process does not watch the database
   */
  public OptionalInt rank(DatabaseRecord database, Predicate<HostId> silent) {
    if (predecessors(database).stream().anyMatch(other -> !silent.test(other.host()))) {
      return OptionalInt.empty();
    }
    List<FailureDomain> order =
        RendezvousOrder.of(database.id().value(), domains(database), FailureDomain::value);
    int rank = order.indexOf(own.failureDomain());
    return rank < 0 ? OptionalInt.empty() : OptionalInt.of(rank);
  }

  /**
   * The controllers that come before this one in its failure domain. It takes over when all of them
   * are silent.
   *
   * @param database the database
   * @return the controllers, the responsible one first
   */
  public List<ControllerInfo> predecessors(DatabaseRecord database) {
    List<ControllerInfo> order = order(database.id(), own.failureDomain());
    return order.subList(0, order.indexOf(controller(own.host())));
  }

  /**
   * The controllers to ask about a database's primary: the first two of each other failure domain.
   *
   * @param database the database
   * @return the controllers
   */
  public List<ControllerInfo> otherWatchers(DatabaseRecord database) {
    return domains(database).stream()
        .filter(domain -> !domain.equals(own.failureDomain()))
        .flatMap(domain -> order(database.id(), domain).stream().limit(ASKED_PER_DOMAIN))
        .toList();
  }

  /**
   * The failure domains that hold members of a database.
   *
   * @param database the database
   * @return the failure domains
   */
  public static Set<FailureDomain> domains(DatabaseRecord database) {
    Set<FailureDomain> domains = new TreeSet<>();
    database.members().stream().map(MemberRecord::failureDomain).forEach(domains::add);
    return domains;
  }

  private List<ControllerInfo> order(DatabaseId database, FailureDomain domain) {
    List<ControllerInfo> inDomain =
        controllers.stream().filter(other -> other.failureDomain().equals(domain)).toList();
    return RendezvousOrder.of(database.value(), inDomain, other -> other.host().value());
  }

  private ControllerInfo controller(HostId host) {
    return controllers.stream()
        .filter(other -> other.host().equals(host))
        .findFirst()
        .orElseThrow();
  }
}
