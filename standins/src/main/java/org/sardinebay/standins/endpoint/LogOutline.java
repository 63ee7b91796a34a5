package org.sardinebay.standins.endpoint;

import java.util.List;
import org.sardinebay.Position;

/**
 * The positions that a log contains, summarized as the boundaries of its terms.
 *
 * @param termStarts the first position of each term, oldest first
 * @param last the last position
 */
record LogOutline(List<Position> termStarts, Position last) {

  /**
   * Returns the last position that two logs have in common. A position identifies one entry, and
   * logs that share a position are equal up to it. The newest term that both logs contain therefore
   * determines the result.
   */
  Position commonPrefix(LogOutline other) {
    for (int i = termStarts.size() - 1; i >= 0; i--) {
      Position start = termStarts.get(i);
      int otherIndex = other.termStarts.indexOf(start);
      if (otherIndex >= 0) {
        return new Position(start.term(), Math.min(endOfTerm(i), other.endOfTerm(otherIndex)));
      }
    }
    return Position.ZERO;
  }

  private long endOfTerm(int i) {
    return i + 1 < termStarts.size() ? termStarts.get(i + 1).index() - 1 : last.index();
  }
}
