package org.sardinebay;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The consistency state of a session: for each database, the latest position that the session wrote
 * or read. The caller sends it with each request, so that a session can move between hosts without
 * a shared store.
 *
 * <pre>{@code
 * SessionToken next = token.advance(database, position);
 * }</pre>
 */
public final class SessionToken {
  /** The maximum number of databases in a token. */
  public static final int MAX_DATABASES = 64;

  /** The token of a new session. */
  public static final SessionToken EMPTY = new SessionToken(new TreeMap<>());

  private final SortedMap<DatabaseId, Position> positions;

  private SessionToken(SortedMap<DatabaseId, Position> positions) {
    this.positions = Collections.unmodifiableSortedMap(positions);
  }

  /**
   * Creates a token with the given positions.
   *
   * @param positions the position in each database
   * @return the token
   * @throws IllegalArgumentException if there are more than {@link #MAX_DATABASES} positions
   */
  public static SessionToken of(Map<DatabaseId, Position> positions) {
    if (positions.size() > MAX_DATABASES) {
      throw new IllegalArgumentException("more than " + MAX_DATABASES + " databases in a token");
    }
    return new SessionToken(new TreeMap<>(positions));
  }

  /**
   * The session's position in one database.
   *
   * @param database the database
   * @return the position, empty if the session has not used the database
   */
  public Optional<Position> position(DatabaseId database) {
    return Optional.ofNullable(positions.get(database));
  }

  /**
   * All positions.
   *
   * @return an unmodifiable map
   */
  public SortedMap<DatabaseId, Position> positions() {
    return positions;
  }

  /**
   * Whether the token can hold a position of a database.
   *
   * @param database the database
   * @return false if the token is full and has no position of the database yet
   */
  public boolean hasRoomFor(DatabaseId database) {
    return positions.containsKey(database) || positions.size() < MAX_DATABASES;
  }

  /**
   * Returns a token whose position in a database is at least the given one. A position never moves
   * back.
   *
   * @param database the database
   * @param position the position that was written or read
   * @return the advanced token
   * @throws IllegalArgumentException if the token has no room for the database, see {@link
   *     #hasRoomFor}
   */
  public SessionToken advance(DatabaseId database, Position position) {
    SortedMap<DatabaseId, Position> advanced = new TreeMap<>(positions);
    advanced.merge(database, position, Position::max);
    return of(advanced);
  }
}
