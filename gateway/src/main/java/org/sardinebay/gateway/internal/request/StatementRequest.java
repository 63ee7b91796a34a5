package org.sardinebay.gateway.internal.request;

import java.util.Map;
import java.util.Optional;
import org.sardinebay.Position;
import org.sardinebay.session.PreparedShape;

/**
 * A caller's statement that a member has to run.
 *
 * @param id the caller's name for the request
 * @param text the text to send; for a prepared statement its arguments
 * @param writes whether it may write by itself
 * @param commits whether it ends a transaction
 * @param shape the prepared statement that it runs, if it runs one
 * @param session the session that it belongs to
 * @param arrivedAt when it arrived at the caller's host, by this host's clock
 */
public record StatementRequest(
    String id,
    String text,
    boolean writes,
    boolean commits,
    Optional<PreparedShape> shape,
    SessionFacts session,
    long arrivedAt) {

  /** What a statement needs to know of its session. */
  public interface SessionFacts {
    /**
     * The session's values.
     *
     * @return by name
     */
    Map<String, String> values();

    /**
     * The last position that the session has seen.
     *
     * @return the position, empty before its first statement
     */
    Optional<Position> position();

    /**
     * Raises the session's position.
     *
     * @param seen a position that the session has seen
     */
    void advance(Position seen);
  }
}
