package org.sardinebay.proxy.internal.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.sardinebay.Clock;
import org.sardinebay.HostId;

/**
 * Remembers for a short time which proxies did not answer, so that requests try others first.
 *
 * <pre>{@code
 * suspicion.suspect(host);
 * boolean skip = suspicion.suspected(host);
 * }</pre>
 */
public final class PeerSuspicion {
  private static final long SUSPECT_MILLIS = 1_000;

  private final Clock clock;
  private final Map<HostId, Long> until = new ConcurrentHashMap<>();

  /**
   * Suspects nobody.
   *
   * @param clock the time
   */
  public PeerSuspicion(Clock clock) {
    this.clock = clock;
  }

  /**
   * Notes that a proxy did not answer.
   *
   * @param host its entry host
   */
  public void suspect(HostId host) {
    until.put(host, clock.millis() + SUSPECT_MILLIS);
  }

  /**
   * Notes that a proxy answered.
   *
   * @param host its entry host
   */
  public void clear(HostId host) {
    until.remove(host);
  }

  /**
   * Whether a proxy lately did not answer.
   *
   * @param host its entry host
   * @return true for a short time after it did not
   */
  public boolean suspected(HostId host) {
    Long end = until.get(host);
    return end != null && clock.millis() < end;
  }
}
