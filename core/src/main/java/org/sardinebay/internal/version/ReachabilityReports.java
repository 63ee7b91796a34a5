package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;

/**
 * Reports of other hosts about a primary that this host can't reach. If at least as many hosts
 * reach it as don't, the fault is in the network path and not in the primary. A change of primary
 * would then interrupt service for all hosts, whereas this host can forward its statements through
 * the others.
 *
 * <pre>{@code
 * if (reports.queryDue(primary, now)) { query the others; }
 * reports.onReply(host, primary, reached, now);
 * if (reports.primaryReachableElsewhere(primary, now)) { no change }
 * }</pre>
 */
public final class ReachabilityReports {
  /**
   * How long a primary must be unreachable before the other hosts are queried, in milliseconds:
   * half the time after which a change is needed.
   */
  public static final long QUERY_AFTER_MILLIS = 500;

  /**
   * The interval between queries to the other hosts, in milliseconds: longer than a reply may take.
   */
  public static final long INTERVAL_MILLIS = 400;

  /** How long a reply is valid, in milliseconds: two intervals. */
  private static final long VALID_MILLIS = 800;

  private final Map<HostId, Reply> replies = new HashMap<>();
  private MemberId queriedPrimary = new MemberId("none");
  private long lastQueryAt = Long.MIN_VALUE / 2;

  private record Reply(boolean reached, long at) {}

  /**
   * Returns whether the other hosts should be queried now, and if so starts a new interval.
   *
   * @param primary the primary that doesn't reply
   * @param now the current time in milliseconds
   * @return true once in each interval
   */
  public boolean queryDue(MemberId primary, long now) {
    if (!primary.equals(queriedPrimary)) {
      queriedPrimary = primary;
      replies.clear();
      lastQueryAt = Long.MIN_VALUE / 2;
    }
    if (now - lastQueryAt < INTERVAL_MILLIS) {
      return false;
    }
    lastQueryAt = now;
    return true;
  }

  /**
   * Records a reply of another host.
   *
   * @param host the host that replied
   * @param primary the member that the query was about
   * @param reached whether the host reaches the member; false if the host didn't reply
   * @param now the current time in milliseconds
   */
  public void onReply(HostId host, MemberId primary, boolean reached, long now) {
    if (primary.equals(queriedPrimary)) {
      replies.put(host, new Reply(reached, now));
    }
  }

  /**
   * Returns whether the primary should be kept.
   *
   * @param primary the primary
   * @param now the current time in milliseconds
   * @return true if at least as many hosts reach it as don't, counting this host among those that
   *     don't
   */
  public boolean primaryReachableElsewhere(MemberId primary, long now) {
    if (!primary.equals(queriedPrimary)) {
      return false;
    }
    replies.values().removeIf(reply -> now - reply.at() >= VALID_MILLIS);
    long reached = replies.values().stream().filter(Reply::reached).count();
    long unreached = 1 + replies.size() - reached;
    return reached >= unreached;
  }
}
