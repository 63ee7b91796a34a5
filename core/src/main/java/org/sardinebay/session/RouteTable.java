package org.sardinebay.session;

import java.util.Map;
import java.util.Optional;

/**
 * The routes of one version of the configuration.
 *
 * @param version the version; increases with each configuration
 * @param routes the routes by database
 * @param services the services by name
 * @param limits the limits on sessions
 * @param workspaces the workspaces and their keys; empty if the configuration asks callers for no
 *     keys
 */
public record RouteTable(
    long version,
    Map<String, DatabaseRoute> routes,
    Map<String, ServiceSpec> services,
    SessionLimits limits,
    Optional<Workspaces> workspaces) {
  /** The table before any configuration was received. */
  public static final RouteTable EMPTY =
      new RouteTable(0, Map.of(), Map.of(), SessionLimits.DEFAULT, Optional.empty());

  /** Copies the maps. */
  public RouteTable {
    routes = Map.copyOf(routes);
    services = Map.copyOf(services);
  }

  /**
   * Finds a database's route.
   *
   * @param database the database name that a caller stated
   * @return the route, empty if the database is not configured
   */
  public Optional<DatabaseRoute> route(String database) {
    return Optional.ofNullable(routes.get(database));
  }
}
