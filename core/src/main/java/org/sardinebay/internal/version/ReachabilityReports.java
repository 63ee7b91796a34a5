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
 * if (reports.pollDue(primary, now)) { ask the others; reports.answered(host, reached); }
 * if (reports.primaryReachableElsewhere(primary, now)) { no change }
 * }</pre>
 */
public final class ReachabilityReports {
  /**
   * How long a primary must be unreachable before the other hosts are asked, in milliseconds: half
   * the time after which a change is needed.
   */
  public static final long ASK_AFTER_MILLIS = 500;

  /**
   * The interval between requests to the other hosts, in milliseconds: longer than a reply may
   * take.
   */
  public static final long INTERVAL_MILLIS = 400;

  /** How long a reply is valid, in milliseconds: two intervals. */
  private static final long VALID_MILLIS = 800;

  private final Map<HostId, Answer> answers = new HashMap<>();
  private MemberId askedPrimary = new MemberId("none");
  private long askedAt = Long.MIN_VALUE / 2;

  private record Answer(boolean reached, long at) {}

  /**
   * Returns whether the other hosts should be asked now, and if so starts a new interval.
   *
   * @param primary the primary that doesn't reply
   * @param now the current time in milliseconds
   * @return true once in each interval
   */
  public boolean pollDue(MemberId primary, long now) {
    if (!primary.equals(askedPrimary)) {
      askedPrimary = primary;
      answers.clear();
      askedAt = Long.MIN_VALUE / 2;
    }
    if (now - askedAt < INTERVAL_MILLIS) {
      return false;
    }
    askedAt = now;
    return true;
  }

  /**
   * Records a reply of another host.
   *
   * @param host the host that replied
   * @param primary the member that the request was about
   * @param reached whether the host reaches the member; false if the host didn't reply
   * @param now the current time in milliseconds
   */
  public void answered(HostId host, MemberId primary, boolean reached, long now) {
    if (primary.equals(askedPrimary)) {
      answers.put(host, new Answer(reached, now));
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
    if (!primary.equals(askedPrimary)) {
      return false;
    }
    answers.values().removeIf(answer -> now - answer.at() >= VALID_MILLIS);
    long reached = answers.values().stream().filter(Answer::reached).count();
    long unreached = 1 + answers.size() - reached;
    return reached >= unreached;
  }
}
