package org.sardinebay.session;

import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration.
 *
 * @param version grows with each configuration
 * @param routes by database
 * @param services by name
 * @param limits limits on sessions
 */
public record RouteTable(
    long version,
    Map<String, DatabaseRoute> routes,
    Map<String, ServiceSpec> services,
    SessionLimits limits) {
  /** The table before any configuration is known. */
  public static final RouteTable EMPTY =
      new RouteTable(0, Map.of(), Map.of(), SessionLimits.DEFAULT);

  /** Copies the maps. */
  public RouteTable {
    routes = Map.copyOf(routes);
    services = Map.copyOf(services);
  }

  /**
   * Finds a database's route.
   *
   * @param database the name that a caller gave
   * @return the route, empty if the database is not configured
   */
  public Optional<DatabaseRoute> route(String database) {
    return Optional.ofNullable(routes.get(database));
  }
}
