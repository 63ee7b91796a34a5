package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.sardinebay.Clock;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.ServiceSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration in force and the services that it names. A configuration older than the one in
 * force is never taken.
 *
 * <pre>{@code
 * services.configure(table);
 * services.members(entries);
 * }</pre>
 */
public final class Services {
  private static final Logger LOG = LoggerFactory.getLogger(Services.class);

  private final Function<ServiceSpec, ServiceRuntime> factory;
  private final Clock clock;
  private final Map<String, ServiceRuntime> runtimes = new HashMap<>();
  private List<MemberEntry> members = List.of();
  private RouteTable table = RouteTable.EMPTY;
  private long appliedAt;

  /**
   * No configuration yet.
   *
   * @param factory makes the runtime of a service
   * @param clock the clock
   */
  public Services(Function<ServiceSpec, ServiceRuntime> factory, Clock clock) {
    this.factory = factory;
    this.clock = clock;
    this.appliedAt = clock.millis();
  }

  /**
   * Takes over a configuration unless it is older.
   *
   * @param newer the configuration
   */
  public void configure(RouteTable newer) {
    if (newer.version() <= table.version()) {
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
    spreadMembers();
  }

  /**
   * Takes over the registered members.
   *
   * @param entries all of them
   */
  public void members(List<MemberEntry> entries) {
    if (entries.equals(members)) {
      return;
    }
    members = entries;
    spreadMembers();
  }

  private void spreadMembers() {
    runtimes.forEach(
        (name, runtime) -> {
          List<MemberEntry> own =
              members.stream().filter(entry -> entry.service().equals(name)).toList();
          runtime.members(own);
        });
  }

  /**
   * The configuration in force.
   *
   * @return the table
   */
  public RouteTable table() {
    return table;
  }

  /**
   * When the configuration in force was taken over.
   *
   * @return the time, of the start before the first one
   */
  public long appliedAt() {
    return appliedAt;
  }

  /**
   * The service behind a route.
   *
   * @param route the route
   * @return its runtime, empty if it is not configured
   */
  public Optional<ServiceRuntime> service(DatabaseRoute route) {
    return service(route.service());
  }

  /**
   * The service of a name.
   *
   * @param name the name
   * @return its runtime, empty if it is not configured
   */
  public Optional<ServiceRuntime> service(String name) {
    return Optional.ofNullable(runtimes.get(name));
  }

  /**
   * All services.
   *
   * @return their runtimes
   */
  public Collection<ServiceRuntime> all() {
    return runtimes.values();
  }
}
