package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sardinebay.Clock;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.ServiceSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The current configuration and its services. A configuration that is not newer than the current
 * one is ignored.
 *
 * <pre>{@code
 * services.configure(table);
 * services.replaceMembers(entries);
 * }</pre>
 */
public final class Services {
  private static final Logger LOG = LoggerFactory.getLogger(Services.class);

  private final Function<ServiceSpec, ServiceRuntime> factory;
  private final Clock clock;
  private final Predicate<RouteTable> admission;
  private final Map<String, ServiceRuntime> runtimes = new HashMap<>();
  private List<MemberEntry> members = List.of();
  private RouteTable table = RouteTable.EMPTY;
  private long appliedAt;
  private Runnable onConfigured = () -> {};

  /**
   * Creates an instance without a configuration.
   *
   * @param factory creates the runtime of a service
   * @param clock the clock
   * @param admission whether callers may be admitted by a configuration
   */
  public Services(
      Function<ServiceSpec, ServiceRuntime> factory, Clock clock, Predicate<RouteTable> admission) {
    this.factory = factory;
    this.admission = admission;
    this.clock = clock;
    this.appliedAt = clock.millis();
  }

  /**
   * Applies a configuration if it is newer than the current one.
   *
   * @param newer the configuration
   */
  public void configure(RouteTable newer) {
    if (newer.version() <= table.version()) {
      LOG.atInfo()
          .setMessage("configuration_not_newer")
          .addKeyValue("version", newer.version())
          .addKeyValue("in_force", table.version())
          .log();
      return;
    }
    LOG.atInfo()
        .setMessage("configuration_applied")
        .addKeyValue("version", newer.version())
        .addKeyValue("previous", table.version())
        .addKeyValue("routes", newer.routes().size())
        .log();
    table = newer;
    appliedAt = clock.millis();
    for (String name : new ArrayList<>(runtimes.keySet())) {
      if (!newer.services().containsKey(name)) {
        runtimes.remove(name).close();
      }
    }
    for (ServiceSpec spec : newer.services().values()) {
      ServiceRuntime runtime = runtimes.get(spec.name());
      if (runtime == null) {
        runtimes.put(spec.name(), factory.apply(spec));
      } else {
        runtime.configure(spec);
      }
    }
    runtimes.values().forEach(runtime -> runtime.placer().configure(newer));
    distributeMembers();
    onConfigured.run();
  }

  /**
   * Sets the task that runs after each new configuration, on the event loop.
   *
   * @param task the task
   */
  public void onConfigured(Runnable task) {
    onConfigured = task;
  }

  /**
   * Replaces the registered members.
   *
   * @param entries the members of all services
   */
  public void replaceMembers(List<MemberEntry> entries) {
    if (entries.equals(members)) {
      return;
    }
    members = entries;
    distributeMembers();
  }

  /**
   * Records as of when the registered members are known.
   *
   * @param knownAt the time by this host's clock, in milliseconds
   */
  public void onMembersKnown(long knownAt) {
    runtimes.values().forEach(runtime -> runtime.view().lease().onMembersKnown(knownAt));
  }

  private void distributeMembers() {
    runtimes.forEach(
        (name, runtime) -> {
          List<MemberEntry> serviceMembers =
              members.stream().filter(entry -> entry.service().equals(name)).toList();
          runtime.replaceMembers(serviceMembers);
        });
  }

  /**
   * Returns the current configuration.
   *
   * @return the table
   */
  public RouteTable table() {
    return table;
  }

  /**
   * Whether callers may be admitted.
   *
   * @return false while there is no configuration, or while a newer one is expected from a peer
   */
  public boolean admitsCallers() {
    return admission.test(table);
  }

  /**
   * Returns when the current configuration was applied.
   *
   * @return the time by this host's clock, in milliseconds; before the first configuration, the
   *     start of this process
   */
  public long appliedAt() {
    return appliedAt;
  }

  /**
   * Returns the service of a route.
   *
   * @param route the route
   * @return its runtime, empty if it is not configured
   */
  public Optional<ServiceRuntime> service(DatabaseRoute route) {
    return service(route.service());
  }

  /**
   * Returns the service with a name.
   *
   * @param name the service name
   * @return its runtime, empty if it is not configured
   */
  public Optional<ServiceRuntime> service(String name) {
    return Optional.ofNullable(runtimes.get(name));
  }

  /**
   * Returns all configured services.
   *
   * @return their runtimes
   */
  public Collection<ServiceRuntime> all() {
    return runtimes.values();
  }
}
