package org.sardinebay.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sardinebay.HostId;

/**
 * Which keepers of quotas did not answer this host. Covers keepers that are paused or cut off: one
 * statement finds out, the statements of all workspaces ask other keepers from then on, and probes
 * instead of statements find out when the keeper answers again.
 *
 * <pre>{@code
 * health.onUnanswered(host, now);
 * health.probesDue(now).forEach(host -> probe(host));
 * health.onAnswer(host);
 * }</pre>
 */
public final class QuotaKeeperHealth {
  /** Interval at which a keeper that did not answer is probed, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 700;

  /** When the next probe of each unanswering host is due. */
  private final Map<HostId, Long> probeAt = new HashMap<>();

  /**
   * Records that a keeper did not answer a call or probe.
   *
   * @param host the keeper
   * @param now the current time by this host's clock, in milliseconds
   */
  public void onUnanswered(HostId host, long now) {
    probeAt.put(host, now + PROBE_INTERVAL_MILLIS);
  }

  /**
   * Records that a keeper answered.
   *
   * @param host the keeper
   */
  public void onAnswer(HostId host) {
    probeAt.remove(host);
  }

  /**
   * Whether a keeper answered its last call or has not been called.
   *
   * @param host the keeper
   * @return false from an unanswered call to the next answer
   */
  public boolean answers(HostId host) {
    return !probeAt.containsKey(host);
  }

  /**
   * Returns the keepers to probe now, each once an interval.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the keepers
   */
  public List<HostId> probesDue(long now) {
    List<HostId> due =
        probeAt.entrySet().stream()
            .filter(entry -> entry.getValue() <= now)
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(host -> probeAt.put(host, now + PROBE_INTERVAL_MILLIS));
    return due;
  }
}
