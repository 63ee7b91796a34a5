package org.sardinebay.standins.endpoint;

import java.util.List;
import org.sardinebay.Position;

/**
 * Which positions a log holds.
 *
 * @param history the start of each term, oldest first
 * @param last the last position
 */
record LogOutline(List<Position> history, Position last) {

  /**
   * The last position that two logs share. A position names one entry, and all before it are equal,
   * so the newest term that both hold decides.
   */
  Position commonPrefix(LogOutline other) {
    for (int i = history.size() - 1; i >= 0; i--) {
      Position start = history.get(i);
      int theirs = other.history.indexOf(start);
      if (theirs >= 0) {
        return new Position(start.term(), Math.min(endOfTerm(i), other.endOfTerm(theirs)));
      }
    }
    return Position.ZERO;
  }

  private long endOfTerm(int i) {
    return i + 1 < history.size() ? history.get(i + 1).index() - 1 : last.index();
  }
}
