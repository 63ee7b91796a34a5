package org.sardinebay.internal.request;

import java.util.Optional;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.Workspace;
import org.sardinebay.session.Workspaces;

/**
 * The share of a contended member that each workspace is entitled to, relative to the others: its
 * configured rate, halved for each step of its priority.
 */
public final class WorkspaceWeights {
  /** The weight of statements without a limited workspace, in operations per second. */
  private static final double DEFAULT_RATE = 100;

  /** Keeps the work of a workspace whose rate is lowered to 0 finite. */
  private static final double MIN_RATE = 1;

  /** The number of steps of priority that count, so that no workspace is left without a share. */
  private static final int MAX_PRIORITY_STEPS = 3;

  private WorkspaceWeights() {}

  /**
   * Returns the weight of a workspace.
   *
   * @param workspaces the workspaces in force
   * @param id the workspace of a statement, if any
   * @return the weight, above 0
   */
  public static double of(Workspaces workspaces, Optional<WorkspaceId> id) {
    return id.flatMap(workspaces::byId).map(WorkspaceWeights::of).orElse(DEFAULT_RATE);
  }

  private static double of(Workspace workspace) {
    double rate = workspace.limited() ? workspace.operationsPerSecond() : DEFAULT_RATE;
    int steps = Math.min(MAX_PRIORITY_STEPS, Math.max(0, workspace.priority()));
    return Math.max(MIN_RATE, rate) / Math.scalb(1.0, steps);
  }
}
