package org.sardinebay.session;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.WorkspaceId;

/**
 * The workspaces of one version of the configuration, found by their keys.
 *
 * <pre>{@code
 * Optional<Workspace> workspace = workspaces.byKey(KeyDigest.of(key));
 * }</pre>
 */
public final class Workspaces {
  private final Map<WorkspaceId, Workspace> byId;
  private final Map<KeyDigest, WorkspaceId> byKey;

  /**
   * Creates the workspaces of one version.
   *
   * @param byId the workspaces by name
   * @param byKey the workspace that holds each key
   */
  public Workspaces(Map<WorkspaceId, Workspace> byId, Map<KeyDigest, WorkspaceId> byKey) {
    this.byId = Map.copyOf(byId);
    this.byKey = Map.copyOf(byKey);
  }

  /**
   * Finds the workspace that holds a key.
   *
   * @param key the digest of the key
   * @return the workspace, empty if the key is unknown or was withdrawn
   */
  public Optional<Workspace> byKey(KeyDigest key) {
    return Optional.ofNullable(byKey.get(key)).map(byId::get);
  }

  /**
   * Finds a workspace by its name.
   *
   * @param id the name
   * @return the workspace, empty if it is not configured
   */
  public Optional<Workspace> byId(WorkspaceId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns all workspaces.
   *
   * @return the workspaces
   */
  public Collection<Workspace> all() {
    return byId.values();
  }
}
