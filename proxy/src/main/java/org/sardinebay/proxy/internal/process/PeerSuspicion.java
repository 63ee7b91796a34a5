package org.sardinebay.proxy.internal.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinebay.Clock;
import org.sardinebay.HostId;

/**
 * Tracks for a short time which proxies did not answer, so that requests are sent to other proxies
 * first.
 *
 * <pre>{@code
 * suspicion.suspect(host);
 * boolean skip = suspicion.suspected(host);
 * }</pre>
 */
public final class PeerSuspicion {
  private static final long SUSPICION_MILLIS = 1_000;

  private final Clock clock;
  private final Map<HostId, Long> suspectedUntil = new ConcurrentHashMap<>();

  /**
   * Creates a tracker without suspected proxies.
   *
   * @param clock the time source
   */
  public PeerSuspicion(Clock clock) {
    this.clock = clock;
  }

  /**
   * Marks a proxy as suspected because it did not answer.
   *
   * @param host the host of the proxy
   */
  public void suspect(HostId host) {
    suspectedUntil.put(host, clock.millis() + SUSPICION_MILLIS);
  }

  /**
   * Clears the suspicion of a proxy because it answered.
   *
   * @param host the host of the proxy
   */
  public void clear(HostId host) {
    suspectedUntil.remove(host);
  }

  /**
   * Whether a proxy recently did not answer.
   *
   * @param host the host of the proxy
   * @return true for 1,000 ms after the proxy was last marked, unless the suspicion was cleared
   */
  public boolean suspected(HostId host) {
    Long end = suspectedUntil.get(host);
    return end != null && clock.millis() < end;
  }
}
