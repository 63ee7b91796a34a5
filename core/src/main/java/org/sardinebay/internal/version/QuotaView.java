package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.RegisteredHost;
import org.sardinebay.session.Workspace;
import org.sardinebay.session.Workspaces;

/**
 * The fleet and the workspaces as one host knows them, and the shards that follow. The shards of a
 * workspace are computed when first asked for, because ordering the hosts for all workspaces at
 * once would hold up the event loop with each host that registers.
 *
 * <pre>{@code
 * QuotaView view = QuotaView.of(rule, hosts, complete, table.workspaces());
 * Optional<QuotaShards> shards = view.shards(workspace);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class QuotaView {
  private final QuotaRule rule;
  private final List<RegisteredHost> hosts;
  private final boolean complete;
  private final Optional<Workspaces> workspaces;
  private final Map<WorkspaceId, List<RegisteredHost>> orders;
  private final Map<WorkspaceId, QuotaShards> shards = new HashMap<>();

  private QuotaView(
      QuotaRule rule,
      List<RegisteredHost> hosts,
      boolean complete,
      Optional<Workspaces> workspaces,
      Map<WorkspaceId, List<RegisteredHost>> orders) {
    this.rule = rule;
    this.hosts = hosts;
    this.complete = complete;
    this.workspaces = workspaces;
    this.orders = orders;
  }

  /**
   * Creates a view.
   *
   * @param rule the rule
   * @param hosts all registered hosts, whether they are up or not
   * @param complete whether the hosts are those of the whole fleet
   * @param workspaces the workspaces of the configuration in force, empty if it has none
   * @return the view
   */
  public static QuotaView of(
      QuotaRule rule,
      List<RegisteredHost> hosts,
      boolean complete,
      Optional<Workspaces> workspaces) {
    return new QuotaView(rule, List.copyOf(hosts), complete, workspaces, new HashMap<>());
  }

  /**
   * Returns a view with other workspaces, which keeps the order of hosts that was computed so far.
   *
   * @param newer the workspaces of the configuration now in force
   * @return the view
   */
  public synchronized QuotaView withWorkspaces(Optional<Workspaces> newer) {
    return new QuotaView(rule, hosts, complete, newer, new HashMap<>(orders));
  }

  /**
   * Returns the shards of a workspace.
   *
   * @param id the workspace
   * @return the shards, empty if the workspace is not configured or has no rate
   */
  public synchronized Optional<QuotaShards> shards(WorkspaceId id) {
    Optional<Workspace> workspace =
        workspaces.flatMap(present -> present.byId(id)).filter(Workspace::limited);
    return workspace.map(present -> shards.computeIfAbsent(id, key -> compute(present)));
  }

  private QuotaShards compute(Workspace workspace) {
    List<RegisteredHost> order =
        orders.computeIfAbsent(workspace.id(), key -> QuotaShards.order(workspace, hosts));
    return QuotaShards.ordered(workspace, rule, order, complete);
  }

  /**
   * Whether a workspace is configured.
   *
   * @param id the workspace
   * @return true if the configuration in force lists it
   */
  public boolean configured(WorkspaceId id) {
    return workspaces.flatMap(present -> present.byId(id)).isPresent();
  }
}
