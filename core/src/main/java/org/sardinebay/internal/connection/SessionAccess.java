package org.sardinebay.internal.connection;

import java.util.Optional;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.KeyDigest;
import org.sardinebay.session.RouteTable;

/**
 * Decides for one open session whether it may go on under the configuration in force. A session
 * keeps the workspace that it was admitted for: its transaction and its member connections belong
 * to that workspace, so a session whose key belongs to another one has to end.
 *
 * <pre>{@code
 * SessionAccess access = SessionAccess.admit(table, route, key).orElseThrow();
 * SessionAccess.Verdict verdict = access.check(newerTable);
 * }</pre>
 *
 * <p>The verdict is cached for the version that it was decided with. Two tables of one process
 * never have the same version, so the check before each statement is one comparison of numbers
 * unless the configuration has changed.
 */
public final class SessionAccess {
  /** What a session may do. */
  public enum Verdict {
    /** The session goes on. */
    UNCHANGED,
    /**
     * The caller has no access as the workspace that it was admitted for; nothing more may run for
     * it.
     */
    WITHDRAWN,
    /**
     * The caller had no workspace and its key identifies one now. An open transaction may be
     * finished; the session ends with it.
     */
    IDENTIFIED
  }

  private final String database;
  private final Optional<KeyDigest> key;
  private final Optional<WorkspaceId> workspace;
  private DatabaseRoute route;
  private long checkedVersion;
  private Verdict verdict = Verdict.UNCHANGED;

  private SessionAccess(
      DatabaseRoute route,
      Optional<KeyDigest> key,
      Optional<WorkspaceId> workspace,
      RouteTable table) {
    this.database = route.database();
    this.key = key;
    this.workspace = workspace;
    this.route = route;
    this.checkedVersion = table.version();
  }

  /**
   * Admits a session.
   *
   * @param table the configuration in force
   * @param route the route of the session's database
   * @param key the caller's key, if it sent one
   * @return the access, empty if the caller's key is missing or unknown and the route is not open
   */
  public static Optional<SessionAccess> admit(
      RouteTable table, DatabaseRoute route, Optional<KeyDigest> key) {
    CallerAccess access = CallerAccess.of(table, route, key);
    return access.permitted()
        ? Optional.of(new SessionAccess(route, key, access.workspace(), table))
        : Optional.empty();
  }

  /**
   * Decides whether the session may go on. Once the session may not, it stays so: a transaction
   * that was rolled back can't continue under a later version that lists the key again.
   *
   * @param table the configuration in force
   * @return the verdict
   */
  public Verdict check(RouteTable table) {
    if (table.version() != checkedVersion && verdict != Verdict.WITHDRAWN) {
      // A session whose route was removed keeps it for its open transaction.
      route = table.route(database).orElse(route);
      verdict = decide(CallerAccess.of(table, route, key));
    }
    checkedVersion = table.version();
    return verdict;
  }

  private Verdict decide(CallerAccess access) {
    if (!access.permitted()) {
      return Verdict.WITHDRAWN;
    }
    if (access.workspace().equals(workspace)) {
      return verdict;
    }
    return workspace.isEmpty() ? Verdict.IDENTIFIED : Verdict.WITHDRAWN;
  }

  /**
   * Returns the workspace that the session was admitted for.
   *
   * @return the workspace, empty if the session has none
   */
  public Optional<WorkspaceId> workspace() {
    return workspace;
  }
}
