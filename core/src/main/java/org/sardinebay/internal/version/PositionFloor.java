package org.sardinebay.internal.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinebay.Position;

/**
 * What the primary held at known moments of its term, so that the age of a read can be proved: a
 * log that holds what the primary showed when it was asked at {@code t} lacks no commit
 * acknowledged before {@code t}.
 *
 * <pre>{@code
 * floor.observe(askedAt, position);
 * Optional<Position> least = floor.atMostOld(now, maxStalenessMillis);
 * }</pre>
 */
public final class PositionFloor {
  /** Observations are kept at least this far apart, in milliseconds, to bound their number. */
  private static final long SPACING_MILLIS = 20;

  private static final int MAX_OBSERVATIONS = 256;

  private final Deque<Observation> observations = new ArrayDeque<>();
  private Position first;

  /**
   * Notes a position of the primary.
   *
   * @param askedAt when the primary was asked
   * @param position what it held
   */
  public void observe(long askedAt, Position position) {
    if (first == null) {
      first = position;
    }
    Observation last = observations.peekLast();
    if (last != null && (askedAt - last.askedAt < SPACING_MILLIS)) {
      return;
    }
    observations.addLast(new Observation(askedAt, position));
    if (observations.size() > MAX_OBSERVATIONS) {
      observations.removeFirst();
    }
  }

  /**
   * The least position that a read of bounded age must show.
   *
   * @param startedAt when the read began
   * @param maxStalenessMillis the age allowed
   * @return the earliest observed position that is recent enough, empty if none is
   */
  public Optional<Position> atMostOld(long startedAt, long maxStalenessMillis) {
    Iterator<Observation> oldestFirst = observations.iterator();
    while (oldestFirst.hasNext()) {
      Observation observation = oldestFirst.next();
      if (observation.askedAt >= startedAt - maxStalenessMillis) {
        return Optional.of(observation.position);
      }
    }
    return Optional.empty();
  }

  /**
   * When the primary last lacked a position, as far as is known.
   *
   * @param position a position
   * @return when the primary was asked and showed an earlier position, empty if it never did
   */
  public OptionalLong lastBelow(Position position) {
    Iterator<Observation> newestFirst = observations.descendingIterator();
    while (newestFirst.hasNext()) {
      Observation observation = newestFirst.next();
      if (observation.position.compareTo(position) < 0) {
        return OptionalLong.of(observation.askedAt);
      }
    }
    return OptionalLong.empty();
  }

  /**
   * The first position observed in this term: it holds all that survived the change of primary.
   *
   * @return the position, empty if nothing was observed
   */
  public Optional<Position> first() {
    return Optional.ofNullable(first);
  }

  /** Forgets everything: a new term began. */
  public void clear() {
    observations.clear();
    first = null;
  }

  private record Observation(long askedAt, Position position) {}
}
