package org.sardinebay;

import java.util.Comparator;

/**
 * A log position: the entry with number {@code index}, written in {@code term}.
 *
 * <p>A term and an index identify one entry: two logs that contain the same position contain the
 * same entries up to it. Positions are ordered by term first, then by index, which is how a
 * promotion compares logs.
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
   * @return the greater of the two positions
   */
  public Position max(Position other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
