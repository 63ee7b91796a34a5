package org.sardinebay.gateway.internal.request;

import java.util.Map;
import java.util.Optional;
import org.sardinebay.Position;
import org.sardinebay.WorkspaceId;
import org.sardinebay.session.PreparedShape;

/**
 * A caller's statement that has to run on a member.
 *
 * @param id the request id given by the caller
 * @param text the text of the statement; for a prepared statement, its arguments
 * @param writes whether the statement may write
 * @param commits whether the statement commits a transaction
 * @param shape the prepared statement to execute, if any
 * @param workspace the workspace of the caller, empty if the deployment has none
 * @param session the state of the session that the statement belongs to
 * @param arrivedAt when the statement arrived at the caller's host, by this host's clock, in
 *     milliseconds
 */
public record StatementRequest(
    String id,
    String text,
    boolean writes,
    boolean commits,
    Optional<PreparedShape> shape,
    Optional<WorkspaceId> workspace,
    SessionState session,
    long arrivedAt) {

  /** The session state that a statement needs. */
  public interface SessionState {
    /**
     * Returns the session's values.
     *
     * @return the values by name
     */
    Map<String, String> values();

    /**
     * Returns the newest position that the session has observed.
     *
     * @return the position, empty before the first statement
     */
    Optional<Position> position();

    /**
     * Advances the session's position to the given one, if that is newer.
     *
     * @param seen a position that the session has observed
     */
    void advance(Position seen);
  }
}
