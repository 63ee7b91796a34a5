package org.sardinebay.internal.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Records when each index of a log first became known, with a bounded number of points.
 *
 * <pre>{@code
 * timeline.add(now, index);
 * long since = timeline.knownAt(index, now);
 * }</pre>
 */
final class PositionTimeline {
  private static final int MAX_POINTS = 512;
  private static final long MIN_SPACING_MILLIS = 2;

  private final Deque<Point> points = new ArrayDeque<>();

  /**
   * Records that an index is known at a time. Ignored unless the index is higher than all before.
   * An index that follows within {@link #MIN_SPACING_MILLIS} gets the time of the previous point.
   */
  void add(long now, long index) {
    Point last = points.peekLast();
    if (last != null && last.index >= index) {
      return;
    }
    if (last != null && now - last.millis < MIN_SPACING_MILLIS) {
      points.pollLast();
      points.addLast(new Point(last.millis, index));
      return;
    }
    points.addLast(new Point(now, index));
    if (points.size() > MAX_POINTS) {
      points.pollFirst();
    }
  }

  /** Returns when an index became known, or {@code now} if it is not known yet. */
  long knownAt(long index, long now) {
    long known = now;
    Iterator<Point> newestFirst = points.descendingIterator();
    while (newestFirst.hasNext()) {
      Point point = newestFirst.next();
      if (point.index < index) {
        break;
      }
      known = point.millis;
    }
    return known;
  }

  /** The highest index known. */
  long highest() {
    return points.isEmpty() ? 0 : points.peekLast().index;
  }

  void clear() {
    points.clear();
  }

  private record Point(long millis, long index) {}
}
