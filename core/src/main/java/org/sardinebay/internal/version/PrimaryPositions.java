package org.sardinebay.internal.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Position;

/**
 * Positions of the primary observed at known times of its term, used to prove the age of a read: a
 * log that contains the position reported for a request sent at {@code t} contains every commit
 * acknowledged before {@code t}.
 *
 * <pre>{@code
 * positions.observe(sentAt, position);
 * Optional<Position> minimum = positions.minimumPosition(now, maxStalenessMillis);
 * }</pre>
 */
public final class PrimaryPositions {
  /** The minimum interval between stored observations, in milliseconds; it bounds their number. */
  private static final long SPACING_MILLIS = 20;

  private static final int MAX_OBSERVATIONS = 256;

  private final Deque<Observation> observations = new ArrayDeque<>();
  private Position first;

  /**
   * Records a position of the primary.
   *
   * @param sentAt when the request was sent to the primary, in milliseconds
   * @param position the position that it reported
   */
  public void observe(long sentAt, Position position) {
    if (first == null) {
      first = position;
    }
    Observation last = observations.peekLast();
    if (last != null && (sentAt - last.sentAt < SPACING_MILLIS)) {
      return;
    }
    observations.addLast(new Observation(sentAt, position));
    if (observations.size() > MAX_OBSERVATIONS) {
      observations.removeFirst();
    }
  }

  /**
   * Returns the lowest position that a read with bounded staleness must include.
   *
   * @param startedAt when the read began, in milliseconds
   * @param maxStalenessMillis the maximum allowed staleness, in milliseconds
   * @return the earliest observed position that is recent enough, or empty if there is none
   */
  public Optional<Position> minimumPosition(long startedAt, long maxStalenessMillis) {
    Iterator<Observation> oldestFirst = observations.iterator();
    while (oldestFirst.hasNext()) {
      Observation observation = oldestFirst.next();
      if (observation.sentAt >= startedAt - maxStalenessMillis) {
        return Optional.of(observation.position);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the latest known time at which the primary had not reached a position.
   *
   * @param position a position
   * @return when the request was sent to which the primary reported an earlier position, or empty
   *     if there is none
   */
  public OptionalLong lastBelow(Position position) {
    Iterator<Observation> newestFirst = observations.descendingIterator();
    while (newestFirst.hasNext()) {
      Observation observation = newestFirst.next();
      if (observation.position.compareTo(position) < 0) {
        return OptionalLong.of(observation.sentAt);
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Returns the first position observed in this term. A log up to this position contains every
   * entry that survived the change of primary.
   *
   * @return the position, or empty if nothing was observed
   */
  public Optional<Position> first() {
    return Optional.ofNullable(first);
  }

  /** Removes all observations, because a new term began. */
  public void clear() {
    observations.clear();
    first = null;
  }

  private record Observation(long sentAt, Position position) {}
}
