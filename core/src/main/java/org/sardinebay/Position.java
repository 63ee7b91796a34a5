package org.sardinebay;

import java.util.Comparator;

/**
 * A log position: the entry number {@code index}, written in {@code term}.
 *
 * <p>A term and an index name one entry: two logs that hold the same position hold the same entries
 * up to it. Positions order by term first, as promotion compares logs.
 *
 * @param term the term in which the entry was written, 0 for the empty log
 * @param index the entry's number, 0 for the empty log
 */
public record Position(long term, long index) implements Comparable<Position> {
  /** The position of an empty log. */
  public static final Position ZERO = new Position(0, 0);

  private static final Comparator<Position> ORDER =
      Comparator.comparingLong(Position::term).thenComparingLong(Position::index);

  @Override
  public int compareTo(Position other) {
    return ORDER.compare(this, other);
  }

  /**
   * The later of two positions.
   *
   * @param other the position to compare with
   * @return whichever orders last
   */
  public Position max(Position other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
