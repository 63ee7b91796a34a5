package org.sardinebay.internal.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;

/**
 * Reports of other hosts about members that this host can't reach. If at least as many hosts reach
 * a member as don't, the fault is in the network path and not in the member. A change of primary
 * would then interrupt service for all hosts, whereas this host can forward its statements through
 * the others.
 *
 * <pre>{@code
 * reports.retain(unseenMembers);
 * if (reports.queryDue(member, now)) { query the others; }
 * reports.onReply(host, member, reached, now);
 * if (reports.reachedElsewhere(member, now)) { no change }
 * }</pre>
 */
public final class ReachabilityReports {
  /**
   * How long a member must be unreachable before the other hosts are queried, in milliseconds: half
   * the time after which a change is needed.
   */
  public static final long QUERY_AFTER_MILLIS = 500;

  /**
   * The interval between queries to the other hosts, in milliseconds: longer than a reply may take.
   */
  public static final long INTERVAL_MILLIS = 400;

  /** How long a reply is valid, in milliseconds: two intervals. */
  private static final long VALID_MILLIS = 800;

  private final Map<MemberId, MemberReports> byMember = new HashMap<>();

  private static final class MemberReports {
    private final Map<HostId, Reply> replies = new HashMap<>();
    private long lastQueryAt = Long.MIN_VALUE / 2;
  }

  private record Reply(boolean reached, long at) {}

  /**
   * Discards the reports about all members but the given ones.
   *
   * @param unseen the members that this host can't reach
   */
  public void retain(Collection<MemberId> unseen) {
    byMember.keySet().retainAll(unseen);
  }

  /**
   * Returns whether the other hosts should be queried now, and if so starts a new interval.
   *
   * @param member the member that doesn't reply
   * @param now the current time in milliseconds
   * @return true once in each interval
   */
  public boolean queryDue(MemberId member, long now) {
    MemberReports reports = byMember.computeIfAbsent(member, id -> new MemberReports());
    if (now - reports.lastQueryAt < INTERVAL_MILLIS) {
      return false;
    }
    reports.lastQueryAt = now;
    return true;
  }

  /**
   * Records a reply of another host. A reply about a member that is reachable again is ignored.
   *
   * @param host the host that replied
   * @param member the member that the query was about
   * @param reached whether the host reaches the member; false if the host didn't reply
   * @param now the current time in milliseconds
   */
  public void onReply(HostId host, MemberId member, boolean reached, long now) {
    MemberReports reports = byMember.get(member);
    if (reports != null) {
      reports.replies.put(host, new Reply(reached, now));
    }
  }

  /**
   * Returns whether a member is in use by other hosts.
   *
   * @param member the member
   * @param now the current time in milliseconds
   * @return true if at least as many hosts reach it as don't, counting this host among those that
   *     don't
   */
  public boolean reachedElsewhere(MemberId member, long now) {
    MemberReports reports = byMember.get(member);
    if (reports == null) {
      return false;
    }
    reports.replies.values().removeIf(reply -> now - reply.at() >= VALID_MILLIS);
    long reached = reports.replies.values().stream().filter(Reply::reached).count();
    long unreached = 1 + reports.replies.size() - reached;
    return reached >= unreached;
  }
}
