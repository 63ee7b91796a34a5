package org.sardinebay.internal.connection;

import java.util.Optional;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.KeyDigest;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.Workspace;

/**
 * Decides whether a caller may use a database, and for which workspace its statements run. Decided
 * again for each statement, so that a withdrawn key is refused as soon as the configuration without
 * it is in force.
 *
 * @param permitted whether the caller may use the database
 * @param workspace the workspace that holds the caller's key, empty if the deployment has none or
 *     the route is open and the caller has no known key
 */
public record CallerAccess(boolean permitted, Optional<WorkspaceId> workspace) {
  /**
   * Decides for one caller.
   *
   * @param table the configuration in force
   * @param route the route of the database
   * @param key the caller's key, if it sent one
   * @return the decision
   */
  public static CallerAccess of(RouteTable table, DatabaseRoute route, Optional<KeyDigest> key) {
    if (table.workspaces().isEmpty()) {
      return new CallerAccess(true, Optional.empty());
    }
    Optional<WorkspaceId> workspace =
        key.flatMap(table.workspaces().get()::byKey).map(Workspace::id);
    return new CallerAccess(route.open() || workspace.isPresent(), workspace);
  }
}
