package org.sardinebay.internal.process;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Address;

/**
 * Chooses whom to ask for configuration, and when.
 *
 * <pre>{@code
 * Optional<Address> source = rotation.next(controllers, peers);
 * rotation.unchanged();            // or changed(), or failed()
 * long pause = rotation.pauseMillis();
 * }</pre>
 *
 * <p>The preferred sources are asked in turn, so that one which is cut off from the others does not
 * hold this process back for long. The fallbacks are asked only after every preferred source failed
 * in a row. Not safe for several threads.
 */
public final class SourceRotation {
  private static final long MIN_PAUSE_MILLIS = 50;
  private static final long BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  private int turn;
  private int failures;
  private int rounds;

  /**
   * The source to ask now.
   *
   * @param preferred the sources to ask first
   * @param fallbacks the sources to ask while no preferred one answers
   * @return one of them, or empty if there is none
   */
  public Optional<Address> next(List<Address> preferred, List<Address> fallbacks) {
    int total = preferred.size() + fallbacks.size();
    if (total == 0) {
      return Optional.empty();
    }
    if (failures >= total) {
      failures = 0;
      rounds++;
    }
    boolean useFallback = failures >= preferred.size();
    List<Address> sources = useFallback ? fallbacks : preferred;
    return Optional.of(sources.get(Math.floorMod(turn, sources.size())));
  }

  /** The source answered that nothing is newer: another one is asked next. */
  public void unchanged() {
    turn++;
    reset();
  }

  /** The source answered with newer records: it may have more. */
  public void changed() {
    reset();
  }

  /** The source did not answer. */
  public void failed() {
    turn++;
    failures++;
  }

  /**
   * How long to wait before the next call.
   *
   * @return a short pause, growing with the rounds in which no source answered
   */
  public long pauseMillis() {
    if (rounds == 0) {
      return MIN_PAUSE_MILLIS;
    }
    return Math.min(MAX_BACKOFF_MILLIS, BACKOFF_MILLIS << Math.min(rounds, 4));
  }

  private void reset() {
    failures = 0;
    rounds = 0;
  }
}
