package org.sardinebay.internal.version;

import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;

/** The known state of one member and an estimate of its replication lag. */
final class MemberEstimate {
  /** The weight of a new lag observation against the former estimate. */
  private static final double LAG_WEIGHT = 0.3;

  /** The multiple of the usual lag above which a member is considered stalled. */
  private static final double STALL_FACTOR = 1.5;

  /** The delay, in milliseconds, with which this process learns of a member's progress. */
  private static final double OBSERVATION_DELAY_MILLIS = 60;

  private long lastReplyRequestedAt = Long.MIN_VALUE;
  private long lastReplyAt = Long.MIN_VALUE;
  private long appliedAt = Long.MIN_VALUE;
  private long term;
  private MemberRole role = MemberRole.FENCED;
  private long receivedIndex;
  private long appliedIndex;
  private boolean synced;
  private boolean leaving;
  private double lagMillis;

  void observe(EndpointReply.Standing standing, long sentAt, long now) {
    if (standing.term() < term || sentAt < lastReplyRequestedAt) {
      return;
    }
    boolean newTerm = standing.term() > term;
    term = standing.term();
    role = standing.role();
    lastReplyRequestedAt = sentAt;
    lastReplyAt = now;
    appliedAt = Math.max(appliedAt, sentAt);
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
   * Returns when the member is expected to have applied an index. A member that has stalled for
   * longer than its usual lag is expected to stall for the same time again.
   */
  long expectedAt(long index, PositionTimeline timeline, long now) {
    if (appliedIndex >= index) {
      return now;
    }
    double stalledMillis = stalledMillis(timeline, now);
    if (stalledMillis > lagMillis * STALL_FACTOR + OBSERVATION_DELAY_MILLIS) {
      return now + Math.round(stalledMillis);
    }
    return Math.max(now, timeline.knownAt(index, now) + Math.round(lagMillis));
  }

  /**
   * Returns how long the member was observed to be missing the next entry. Its progress since the
   * last observation is unknown.
   */
  private double stalledMillis(PositionTimeline timeline, long now) {
    return (double) Math.max(0, appliedAt - timeline.knownAt(appliedIndex + 1, now));
  }

  void markLeaving() {
    leaving = true;
  }

  long lastReplyRequestedAt() {
    return lastReplyRequestedAt;
  }

  long lastReplyAt() {
    return lastReplyAt;
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
