package org.sardinebay.internal.version;

import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;

/** What is known of one member, and how far behind it is expected to be. */
final class MemberEstimate {
  /** The weight of a new lag observation against the former estimate. */
  private static final double LAG_WEIGHT = 0.3;

  private static final double STALL_FACTOR = 1.5;

  /** How much later than it happened a member's progress becomes known here. */
  private static final double STALL_SLACK_MILLIS = 60;

  private long answeredAskedAt = Long.MIN_VALUE;
  private long lastAnswerAt = Long.MIN_VALUE;
  private long appliedAt = Long.MIN_VALUE;
  private long term;
  private MemberRole role = MemberRole.FENCED;
  private long receivedIndex;
  private long appliedIndex;
  private boolean synced;
  private boolean leaving;
  private double lagMillis;

  void observe(EndpointReply.Standing standing, long askedAt, long now) {
    if (standing.term() < term || askedAt < answeredAskedAt) {
      return;
    }
    boolean newTerm = standing.term() > term;
    term = standing.term();
    role = standing.role();
    answeredAskedAt = askedAt;
    lastAnswerAt = now;
    appliedAt = Math.max(appliedAt, askedAt);
    synced = standing.synced() || role == MemberRole.PRIMARY;
    leaving = standing.leaving();
    receivedIndex = standing.received().index();
    appliedIndex =
        newTerm ? standing.applied().index() : Math.max(appliedIndex, standing.applied().index());
  }

  void observeApplied(long index, long now) {
    appliedIndex = Math.max(appliedIndex, index);
    appliedAt = Math.max(appliedAt, now);
  }

  void observeReceived(long index) {
    receivedIndex = Math.max(receivedIndex, index);
  }

  void updateLag(PositionTimeline timeline, long now) {
    long highest = timeline.highest();
    if (appliedIndex >= highest) {
      double newestEntryAge = (double) (now - timeline.knownAt(highest, now));
      lagMillis = Math.min(lagMillis, newestEntryAge);
    } else {
      lagMillis += LAG_WEIGHT * (stalledMillis(timeline, now) - lagMillis);
    }
  }

  /**
   * When the member is expected to have applied an index. A member that has stalled for longer than
   * its usual lag is expected to stall for as long again.
   */
  long expectedAt(long index, PositionTimeline timeline, long now) {
    if (appliedIndex >= index) {
      return now;
    }
    double stalledMillis = stalledMillis(timeline, now);
    if (stalledMillis > lagMillis * STALL_FACTOR + STALL_SLACK_MILLIS) {
      return now + Math.round(stalledMillis);
    }
    return Math.max(now, timeline.knownAt(index, now) + Math.round(lagMillis));
  }

  /** For how long the member was seen to lack the next entry; what it did since is not known. */
  private double stalledMillis(PositionTimeline timeline, long now) {
    return (double) Math.max(0, appliedAt - timeline.knownAt(appliedIndex + 1, now));
  }

  void leave() {
    leaving = true;
  }

  long answeredAskedAt() {
    return answeredAskedAt;
  }

  long lastAnswerAt() {
    return lastAnswerAt;
  }

  long term() {
    return term;
  }

  MemberRole role() {
    return role;
  }

  long receivedIndex() {
    return receivedIndex;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  boolean synced() {
    return synced;
  }

  boolean leaving() {
    return leaving;
  }

  long lagMillis() {
    return Math.round(lagMillis);
  }
}
