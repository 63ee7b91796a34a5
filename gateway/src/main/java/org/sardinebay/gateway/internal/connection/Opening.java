package org.sardinebay.gateway.internal.connection;

import java.util.Optional;
import org.sardinebay.WorkspaceId;

/** A connection to a member that is being opened. */
public final class Opening {
  private final Optional<WorkspaceId> workspace;
  private boolean connected;
  private boolean ended;

  Opening(Optional<WorkspaceId> workspace) {
    this.workspace = workspace;
  }

  /**
   * Whether the connection is still being opened.
   *
   * @return false once it is established or has failed
   */
  public boolean inProgress() {
    return !ended;
  }

  Optional<WorkspaceId> workspace() {
    return workspace;
  }

  /** Whether the socket is connected, so that the connection exists at the member. */
  boolean connected() {
    return connected;
  }

  void markConnected() {
    connected = true;
  }

  void markEnded() {
    ended = true;
  }
}
