package org.sardinebay.internal.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.sardinebay.WorkspaceId;

/**
 * The idle connections of this host to one member, in the order of their last use. A connection is
 * bound to the workspace that it was started for, and only statements of that workspace may use it.
 * Addresses a load of many workspaces of very different size on few connections: the connections
 * that are used least give way to those that are needed.
 *
 * <pre>{@code
 * idle.add(connection, workspace, now);
 * Optional<C> connection = idle.take(workspace, c -> c.values().equals(values));
 * }</pre>
 *
 * @param <C> the type of the connections
 */
public final class IdleConnections<C> {
  private final Deque<Idle<C>> newestFirst = new ArrayDeque<>();

  /**
   * An idle connection.
   *
   * @param connection the connection
   * @param workspace the workspace that it was started for, empty if it carries the host's name
   * @param usedAt when it was last used by a statement, or opened, in milliseconds
   * @param hasServed whether a statement has used it
   * @param <C> the type of the connection
   */
  public record Idle<C>(
      C connection, Optional<WorkspaceId> workspace, long usedAt, boolean hasServed) {}

  /**
   * The claim of a workspace to a connection.
   *
   * @param workspace the workspace that needs a connection
   * @param awaited whether statements of a workspace wait for a connection
   * @param starved whether the workspace has no connection and has waited for long
   */
  public record Claim(
      Optional<WorkspaceId> workspace, Predicate<Optional<WorkspaceId>> awaited, boolean starved) {}

  /**
   * Adds a connection that a statement has just used.
   *
   * @param connection the connection
   * @param workspace the workspace that it was started for
   * @param now the current time in milliseconds
   */
  public void add(C connection, Optional<WorkspaceId> workspace, long now) {
    newestFirst.addFirst(new Idle<>(connection, workspace, now, true));
  }

  /**
   * Adds a connection that was just opened.
   *
   * @param connection the connection
   * @param workspace the workspace that it was started for
   * @param now the current time in milliseconds
   */
  public void addNew(C connection, Optional<WorkspaceId> workspace, long now) {
    newestFirst.addFirst(new Idle<>(connection, workspace, now, false));
  }

  /**
   * Adds a connection again that no statement has used since {@link #takeOldest}. It remains the
   * first one to be replaced.
   *
   * @param unused the connection as it was taken
   */
  public void addUnused(Idle<C> unused) {
    newestFirst.addLast(unused);
  }

  /**
   * Takes a connection of a workspace: the most recently used one that is preferred. If none is
   * preferred, the most recently used one of a workspace, so that those in excess grow old and are
   * replaced; and the least recently used one without workspaces, so that session values that
   * connections hold are found again.
   *
   * @param workspace the workspace of the statement
   * @param preferred whether a connection needs no preparation
   * @return the connection, empty if no connection of the workspace is idle
   */
  public Optional<C> take(Optional<WorkspaceId> workspace, Predicate<C> preferred) {
    Idle<C> newest = null;
    Idle<C> oldest = null;
    for (Idle<C> idle : newestFirst) {
      if (!idle.workspace().equals(workspace)) {
        continue;
      }
      if (preferred.test(idle.connection())) {
        newestFirst.remove(idle);
        return Optional.of(idle.connection());
      }
      newest = newest == null ? idle : newest;
      oldest = idle;
    }
    Optional<Idle<C>> taken = Optional.ofNullable(workspace.isPresent() ? newest : oldest);
    taken.ifPresent(newestFirst::remove);
    return taken.map(Idle::connection);
  }

  /**
   * Takes the least recently used connection of any workspace, for an exchange that is no statement
   * of a caller.
   *
   * @param preferred whether a connection is to be taken before the others
   * @return the connection, empty if none is idle
   */
  public Optional<Idle<C>> takeOldest(Predicate<C> preferred) {
    Iterator<Idle<C>> oldestFirst = newestFirst.descendingIterator();
    while (oldestFirst.hasNext()) {
      Idle<C> idle = oldestFirst.next();
      if (preferred.test(idle.connection())) {
        oldestFirst.remove();
        return Optional.of(idle);
      }
    }
    return Optional.ofNullable(newestFirst.pollLast());
  }

  /**
   * Returns the least recently used connection, which stays idle.
   *
   * @return the connection, empty if none is idle
   */
  public Optional<Idle<C>> oldest() {
    return Optional.ofNullable(newestFirst.peekLast());
  }

  /**
   * Returns the connection to close so that one of another workspace can be opened in its place:
   * the least recently used one of those that are not awaited. A starved workspace may also take an
   * awaited one, unless it is new: the workspace that it was opened for would not get a statement
   * through.
   *
   * @param claim the workspace that needs a connection
   * @return the connection, empty if none may be replaced
   */
  public Optional<C> replaceable(Claim claim) {
    Iterator<Idle<C>> oldestFirst = newestFirst.descendingIterator();
    while (oldestFirst.hasNext()) {
      Idle<C> idle = oldestFirst.next();
      boolean kept =
          claim.awaited().test(idle.workspace()) && !(claim.starved() && idle.hasServed());
      if (!idle.workspace().equals(claim.workspace()) && !kept) {
        return Optional.of(idle.connection());
      }
    }
    return Optional.empty();
  }

  /**
   * Whether a connection of a workspace is idle.
   *
   * @param workspace the workspace
   * @return true if {@link #take} finds one
   */
  public boolean has(Optional<WorkspaceId> workspace) {
    return newestFirst.stream().anyMatch(idle -> idle.workspace().equals(workspace));
  }

  /**
   * Whether a connection of a kind is idle.
   *
   * @param wanted the kind
   * @return true if {@link #takeOldest} finds one
   */
  public boolean has(Predicate<C> wanted) {
    return newestFirst.stream().anyMatch(idle -> wanted.test(idle.connection()));
  }

  /**
   * Returns the connections that have not been used for some time.
   *
   * @param at the time in milliseconds
   * @return those that were last used at this time or earlier
   */
  public List<C> unusedSince(long at) {
    return newestFirst.stream().filter(idle -> idle.usedAt() <= at).map(Idle::connection).toList();
  }

  /**
   * Removes a connection that has ended.
   *
   * @param connection the connection
   */
  public void remove(C connection) {
    newestFirst.removeIf(idle -> idle.connection().equals(connection));
  }

  /**
   * Returns the number of idle connections of a workspace.
   *
   * @param workspace the workspace
   * @return the number
   */
  public int size(Optional<WorkspaceId> workspace) {
    return (int) newestFirst.stream().filter(idle -> idle.workspace().equals(workspace)).count();
  }

  /**
   * Returns the number of idle connections.
   *
   * @return the number, of all workspaces
   */
  public int size() {
    return newestFirst.size();
  }
}
