package org.sardinebay.internal.version;

import java.util.List;
import org.sardinebay.Position;

/**
 * The start positions of the terms in one log, which determine whether the log contains a position.
 *
 * <pre>{@code
 * boolean kept = history.contains(position);
 * }</pre>
 */
public final class TermHistory {
  /** The history of an empty log. */
  public static final TermHistory EMPTY = new TermHistory(List.of());

  private final List<Position> starts;

  /**
   * Creates a history.
   *
   * @param starts the first position of each term, oldest first
   */
  public TermHistory(List<Position> starts) {
    this.starts = List.copyOf(starts);
  }

  /**
   * Returns whether a position belongs to an entry that the log contains, or will contain if it is
   * in the last term.
   *
   * @param position the position
   * @return false if a promotion dropped it
   */
  public boolean contains(Position position) {
    if (position.index() == 0) {
      return true;
    }
    for (int i = 0; i < starts.size(); i++) {
      if (starts.get(i).term() == position.term()) {
        boolean afterStart = position.index() >= starts.get(i).index();
        boolean beforeNext = i + 1 == starts.size() || position.index() < starts.get(i + 1).index();
        return afterStart && beforeNext;
      }
    }
    return false;
  }

  /**
   * Returns the index at which a term starts.
   *
   * @param term the term
   * @return the index of its first entry, or {@code Long.MAX_VALUE} if the log has no entry of the
   *     term
   */
  public long startOf(long term) {
    return starts.stream()
        .filter(start -> start.term() == term)
        .mapToLong(Position::index)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns the term of the entry at an index.
   *
   * @param index the index
   * @return the term, 0 if the index is before the first known term
   */
  public long termAt(long index) {
    long term = 0;
    for (Position start : starts) {
      if (start.index() <= index) {
        term = start.term();
      }
    }
    return term;
  }

  @Override
  public String toString() {
    return starts.toString();
  }
}
