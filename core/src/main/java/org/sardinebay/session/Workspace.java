package org.sardinebay.session;

import org.sardinebay.WorkspaceId;

/**
 * A workspace of one version of the configuration.
 *
 * @param id the workspace's name
 * @param priority the priority; 0 is the highest
 * @param operationsPerSecond the rate at which operations of this workspace may run on all hosts
 *     together; an operation is a single statement or a whole transaction. Negative if the
 *     configuration states no limit
 * @param burst the number of operations by which the rate may be exceeded at once
 */
public record Workspace(WorkspaceId id, int priority, double operationsPerSecond, double burst) {
  /**
   * Whether the number of operations is limited.
   *
   * @return false if the configuration states no rate
   */
  public boolean limited() {
    return operationsPerSecond >= 0;
  }
}
