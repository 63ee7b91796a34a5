package org.sardinebay.internal.process;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sardinebay.Clock;

/**
 * The era of the platform's store. It rises whenever the store comes back from an older copy of its
 * objects: writes since that copy are lost, and revisions are assigned again.
 *
 * <pre>{@code
 * era.onChange((previous, current) -> registerAgain());
 * era.onResponse(eraOfResponse);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class StoreEra {
  /** Receives a later era. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called on the thread of the response that names a later era.
     *
     * @param previous the era known before, empty for the first response of the process
     * @param current the era
     */
    void onEra(OptionalLong previous, long current);
  }

  private final Clock clock;
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private OptionalLong current = OptionalLong.empty();
  private long seenSince;

  /**
   * Creates an instance that knows no era.
   *
   * @param clock the clock
   */
  public StoreEra(Clock clock) {
    this.clock = clock;
  }

  /**
   * Adds a listener.
   *
   * @param listener the listener
   */
  public void onChange(Listener listener) {
    listeners.add(listener);
  }

  /**
   * Records the era that a response of the store names. A response of an earlier era is late and
   * changes nothing.
   *
   * @param era the era
   */
  public void onResponse(long era) {
    OptionalLong previous;
    synchronized (this) {
      if (current.isPresent() && era <= current.getAsLong()) {
        return;
      }
      previous = current;
      current = OptionalLong.of(era);
      seenSince = clock.millis();
    }
    listeners.forEach(listener -> listener.onEra(previous, era));
  }

  /**
   * Returns the latest era seen.
   *
   * @return the era, 0 if no response has named one
   */
  public synchronized long current() {
    return current.orElse(0);
  }

  /**
   * Returns whether the current era was seen at least some time ago, so that whatever was granted
   * in an earlier era for a shorter time has expired.
   *
   * @param millis the time in milliseconds
   * @param now the current time in milliseconds
   * @return true also if no response has named an era
   */
  public synchronized boolean seenFor(long millis, long now) {
    return current.isEmpty() || now - seenSince >= millis;
  }
}
