package org.sardinebay.internal.process;

import java.util.ArrayList;
import java.util.List;

/**
 * The era of the platform's store. It rises whenever the store comes back from an older copy of its
 * objects: writes since that copy are lost, and revisions are assigned again.
 *
 * <pre>{@code
 * era.onChange(this::registerAgain);
 * era.onResponse(eraOfResponse, now);
 * }</pre>
 *
 * <p>Not thread-safe: use it only from one event loop.
 */
public final class StoreEra {
  private final List<Runnable> listeners = new ArrayList<>();
  private long current;
  private boolean known;
  private long seenSince;

  /**
   * Adds a listener.
   *
   * @param listener called whenever a later era than the one known before is seen
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Records the era that a response of the store names. A response of an earlier era is late and
   * changes nothing.
   *
   * @param era the era
   * @param now the current time in milliseconds
   */
  public void onResponse(long era, long now) {
    if (known && era <= current) {
      return;
    }
    boolean restored = known;
    known = true;
    current = era;
    seenSince = now;
    if (restored) {
      listeners.forEach(Runnable::run);
    }
  }

  /**
   * Returns the latest era seen.
   *
   * @return the era, 0 if no response named one
   */
  public long current() {
    return current;
  }

  /**
   * Returns when the current era was first seen.
   *
   * @return the time in milliseconds, 0 if no response named an era
   */
  public long seenSince() {
    return seenSince;
  }
}
