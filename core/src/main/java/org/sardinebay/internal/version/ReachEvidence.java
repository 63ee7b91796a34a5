package org.sardinebay.internal.version;

import java.util.HashMap;
import java.util.Map;
import org.sardinebay.HostId;
import org.sardinebay.MemberId;

/**
 * What other hosts say about a primary that this host can't reach. Where at least as many reach it
 * as do not, the way to it is cut, not the primary: a change would stop service for all, while this
 * host can send its statements by way of the others.
 *
 * <pre>{@code
 * if (evidence.askNow(primary, now)) { ask the others; evidence.answered(host, reached); }
 * if (evidence.speaksForPrimary(primary, now)) { no change }
 * }</pre>
 */
public final class ReachEvidence {
  /** From when on a silent primary is asked about, in milliseconds: half of what a change needs. */
  public static final long FROM_MILLIS = 500;

  /** How often the others are asked, in milliseconds: above what an answer may take. */
  public static final long INTERVAL_MILLIS = 400;

  /** How long an answer holds, in milliseconds: two intervals. */
  private static final long VALID_MILLIS = 800;

  private final Map<HostId, Answer> answers = new HashMap<>();
  private MemberId subject = new MemberId("none");
  private long askedAt = Long.MIN_VALUE / 2;

  private record Answer(boolean reached, long at) {}

  /**
   * Whether the other hosts should be asked now; if so, they count as asked.
   *
   * @param primary the primary that is silent
   * @param now the time
   * @return true once in each interval
   */
  public boolean askNow(MemberId primary, long now) {
    if (!primary.equals(subject)) {
      subject = primary;
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
   * Takes over an answer.
   *
   * @param host who says so
   * @param primary the member asked about
   * @param reached whether it was reached; false without an answer
   * @param now the time
   */
  public void answered(HostId host, MemberId primary, boolean reached, long now) {
    if (primary.equals(subject)) {
      answers.put(host, new Answer(reached, now));
    }
  }

  /**
   * Whether the primary should stay.
   *
   * @param primary the primary
   * @param now the time
   * @return true if at least as many hosts reach it as do not, this one among these
   */
  public boolean speaksForPrimary(MemberId primary, long now) {
    if (!primary.equals(subject)) {
      return false;
    }
    answers.values().removeIf(answer -> now - answer.at() >= VALID_MILLIS);
    long reached = answers.values().stream().filter(Answer::reached).count();
    long without = 1 + answers.size() - reached;
    return reached >= without;
  }
}
