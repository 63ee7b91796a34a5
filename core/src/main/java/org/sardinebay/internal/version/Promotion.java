package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.MemberRecord;

/**
 * State machine for one attempt to promote a new primary of a database.
 *
 * <pre>{@code
 * Promotion promotion = new Promotion(plan, new PromotionAttemptId("waco-1", 7));
 * List<PromotionEffect> effects = promotion.handle(new PromotionEvent.Started(), now);
 * }</pre>
 *
 * <p>The attempt claims a term by a conditional write, fences a majority of the members at that
 * term, promotes the most advanced of them, publishes the new primary, and makes the other members
 * follow it. Every step is repeatable, and another driver may take over at any point by claiming a
 * higher term. A member's fence has one owner for each term, so two drivers can't both fence a
 * majority in the same term, regardless of what the platform returns.
 */
public final class Promotion implements PromotionStateMachine {
  /** The timeout of a call to a member, in milliseconds. */
  public static final long MEMBER_TIMEOUT_MILLIS = 300;

  /** The timeout of a call to the platform, in milliseconds. */
  public static final long PLATFORM_TIMEOUT_MILLIS = 500;

  /** How long another driver may take before its claim is overridden, in milliseconds. */
  public static final long TAKEOVER_AFTER_MILLIS = 1_500;

  private static final long CLAIM_POLL_MILLIS = 150;
  private static final long READ_RETRY_MILLIS = 100;
  private static final int MAX_READ_RETRIES = 4;
  private static final long FENCE_RETRY_MILLIS = 100;
  private static final long FENCE_GRACE_MILLIS = 150;
  private static final long FENCE_GIVE_UP_MILLIS = 3_000;
  private static final int MAX_PROMOTE_CALLS = 2;
  private static final long PUBLISH_RETRY_MILLIS = 500;

  private final PromotionPlan plan;
  private final PromotionAttemptId attemptId;
  private final ObjectKey key;
  private final FenceRound fenceRound;
  private final List<PromotionEffect> effects = new ArrayList<>();
  private Phase phase = Phase.NEW;
  private long highestTerm;
  private long term;
  private long version;
  private long operation;
  private long timer;
  private long fencingSinceMillis;
  private Optional<Long> majoritySinceMillis = Optional.empty();
  private Optional<Claim> competingClaim = Optional.empty();
  private boolean claimOutcomeUnknown;
  private int readRetries;
  private int promoteCalls;
  private Optional<MemberId> candidate = Optional.empty();

  /**
   * Creates an attempt.
   *
   * @param plan the input of the attempt
   * @param attemptId the ID of the attempt, unique for each attempt
   */
  public Promotion(PromotionPlan plan, PromotionAttemptId attemptId) {
    this.plan = plan;
    this.attemptId = attemptId;
    this.key = PromotionRecord.key(plan.database().id());
    this.fenceRound = new FenceRound(plan.database());
    this.highestTerm = plan.highestTerm();
  }

  @Override
  public List<PromotionEffect> handle(PromotionEvent event, long nowMillis) {
    effects.clear();
    if (phase != Phase.DONE) {
      dispatch(event, nowMillis);
    }
    return List.copyOf(effects);
  }

  /** Once the new primary has been promoted, only publishing remains. */
  @Override
  public boolean replaceable() {
    return phase == Phase.PUBLISHING || phase == Phase.DONE;
  }

  /**
   * Returns the phase of this attempt.
   *
   * @return the phase
   */
  public Phase phase() {
    return phase;
  }

  private void dispatch(PromotionEvent event, long nowMillis) {
    if (event instanceof PromotionEvent.Started) {
      read();
    } else if (event instanceof PromotionEvent.PlatformReplied replied) {
      if (replied.operation() == operation) {
        platformReplied(replied.result(), nowMillis);
      }
    } else if (event instanceof PromotionEvent.MemberReplied replied) {
      memberReplied(replied, nowMillis);
    } else if (event instanceof PromotionEvent.TimerEnded ended) {
      timerEnded(ended.timer(), nowMillis);
    }
  }

  private void platformReplied(PlatformResult result, long nowMillis) {
    switch (phase) {
      case READING -> readReplied(result, nowMillis);
      case CLAIMING -> claimReplied(result, nowMillis);
      case PUBLISHING -> publishReplied(result);
      default -> {
        // A late reply that no phase is waiting for.
      }
    }
  }

  private void timerEnded(long ended, long nowMillis) {
    if (phase == Phase.FENCING) {
      fenceTimerEnded(nowMillis);
      return;
    }
    if (ended != timer) {
      return;
    }
    if (phase == Phase.READING) {
      read();
    } else if (phase == Phase.PUBLISHING) {
      readForPublishing();
    }
  }

  // Claiming a term.

  private void read() {
    phase = Phase.READING;
    effects.add(new PromotionEffect.ReadObject(++operation, key, PLATFORM_TIMEOUT_MILLIS));
  }

  private void readReplied(PlatformResult result, long nowMillis) {
    if (result instanceof PlatformResult.Found found) {
      foundBeforeClaim(found.object(), nowMillis);
    } else if (result instanceof PlatformResult.Absent) {
      version = 0;
      claim();
    } else if (readRetries < MAX_READ_RETRIES && claimOutcomeUnknown) {
      readRetries++;
      setTimer(READ_RETRY_MILLIS);
    } else {
      fail(PromotionFailure.PLATFORM_UNAVAILABLE);
    }
  }

  private void foundBeforeClaim(PlatformObject object, long nowMillis) {
    version = object.version();
    Optional<PromotionRecord> found = PromotionRecord.read(object.body());
    if (found.isEmpty()) {
      fail(PromotionFailure.RECORD_UNREADABLE);
      return;
    }
    PromotionRecord record = found.get();
    if (record.driver().equals(attemptId.toString())) {
      claimed(record.term(), nowMillis);
      return;
    }
    highestTerm = Math.max(highestTerm, record.term());
    boolean newer = record.term() > plan.replacedTerm();
    if (newer && record.step() == PromotionStep.PUBLISHED) {
      finish(new PromotionOutcome.Superseded(record));
    } else if (newer && inProgress(record, nowMillis)) {
      setTimer(CLAIM_POLL_MILLIS);
    } else {
      claim();
    }
  }

  private boolean inProgress(PromotionRecord record, long nowMillis) {
    if (attemptId.sameProcess(record.driver())) {
      return false;
    }
    Claim claim = new Claim(record.term(), record.driver(), nowMillis);
    if (competingClaim.filter(claim::sameAs).isEmpty()) {
      competingClaim = Optional.of(claim);
    }
    return nowMillis - competingClaim.get().firstSeenMillis < TAKEOVER_AFTER_MILLIS;
  }

  private void claim() {
    phase = Phase.CLAIMING;
    term = highestTerm + 1;
    write(record(PromotionStep.FENCING, Optional.empty(), Optional.empty()));
  }

  private void claimReplied(PlatformResult result, long nowMillis) {
    if (result instanceof PlatformResult.Found found) {
      version = found.object().version();
      claimed(term, nowMillis);
    } else if (result instanceof PlatformResult.Conflict) {
      read();
    } else if (noAnswer(result)) {
      claimOutcomeUnknown = true;
      read();
    } else {
      fail(PromotionFailure.PLATFORM_UNAVAILABLE);
    }
  }

  // Fencing a majority.

  private void claimed(long claimedTerm, long nowMillis) {
    phase = Phase.FENCING;
    term = claimedTerm;
    highestTerm = Math.max(highestTerm, term);
    fencingSinceMillis = nowMillis;
    effects.add(new PromotionEffect.Claimed(term));
    callUnfencedMembers();
  }

  private void callUnfencedMembers() {
    EndpointCall.Fence fence = new EndpointCall.Fence(term, attemptId.toString());
    fenceRound.due().forEach(member -> call(member, fence));
  }

  private void memberReplied(PromotionEvent.MemberReplied replied, long nowMillis) {
    if (phase == Phase.FENCING && replied.call() instanceof EndpointCall.Fence) {
      fenceReplied(replied.member(), replied.reply(), nowMillis);
    } else if (phase == Phase.PROMOTING && replied.call() instanceof EndpointCall.Promote) {
      promoteReplied(replied.reply());
    }
  }

  private void fenceReplied(MemberId member, EndpointReply reply, long nowMillis) {
    if (reply instanceof EndpointReply.Obeyed obeyed && obeyed.term() == term) {
      fenceRound.fenced(member, obeyed.received());
    } else if (reply instanceof EndpointReply.Refused refusal && refusal.term() >= term) {
      highestTerm = Math.max(highestTerm, refusal.term());
      fenceRound.refused(member);
    } else {
      fenceRound.failed(member);
      setTimer(FENCE_RETRY_MILLIS);
    }
    checkMajority(nowMillis);
  }

  private void fenceTimerEnded(long nowMillis) {
    if (fenceRound.majorityFenced()) {
      checkMajority(nowMillis);
    } else if (nowMillis - fencingSinceMillis >= FENCE_GIVE_UP_MILLIS) {
      fail(PromotionFailure.NO_MAJORITY);
    } else {
      callUnfencedMembers();
    }
  }

  private void checkMajority(long nowMillis) {
    if (fenceRound.majorityFenced()) {
      awaitRemainingMembers(nowMillis);
    } else if (fenceRound.majorityImpossible()) {
      fail(PromotionFailure.OUTBID);
    }
  }

  private void awaitRemainingMembers(long nowMillis) {
    if (majoritySinceMillis.isEmpty()) {
      majoritySinceMillis = Optional.of(nowMillis);
      setTimer(FENCE_GRACE_MILLIS);
    }
    boolean gracePeriodEnded = nowMillis - majoritySinceMillis.get() >= FENCE_GRACE_MILLIS;
    if (gracePeriodEnded || fenceRound.allReplied(plan.silent())) {
      promote(fenceRound.choose(plan.excluded(), plan.applyLags()));
    }
  }

  // Promoting one member.

  private void promote(MemberId member) {
    phase = Phase.PROMOTING;
    candidate = Optional.of(member);
    promoteCalls++;
    call(member, new EndpointCall.Promote(term, attemptId.toString()));
  }

  private void promoteReplied(EndpointReply reply) {
    MemberId member = candidate.orElseThrow();
    if (reply instanceof EndpointReply.Obeyed) {
      promoted(member);
    } else if (reply instanceof EndpointReply.Refused refusal) {
      highestTerm = Math.max(highestTerm, refusal.term());
      fail(PromotionFailure.OUTBID);
    } else if (promoteCalls < MAX_PROMOTE_CALLS) {
      promote(member);
    } else {
      // The member may already be primary of this term, so no other one may be promoted in it.
      fail(PromotionFailure.CANDIDATE_LOST);
    }
  }

  private void promoted(MemberId primary) {
    effects.add(new PromotionEffect.Promoted(term, primary, start(primary)));
    publish();
    plan.database().members().stream()
        .map(MemberRecord::id)
        .filter(member -> !member.equals(primary))
        .forEach(member -> call(member, follow(primary)));
  }

  private EndpointCall follow(MemberId primary) {
    MemberRecord record =
        plan.database().members().stream()
            .filter(member -> member.id().equals(primary))
            .findFirst()
            .orElseThrow();
    return new EndpointCall.Follow(term, primary, record.address());
  }

  private Position start(MemberId primary) {
    return new Position(term, fenceRound.received(primary).index() + 1);
  }

  // Publishing the new primary.

  private void publish() {
    phase = Phase.PUBLISHING;
    MemberId primary = candidate.orElseThrow();
    write(record(PromotionStep.PUBLISHED, Optional.of(primary), Optional.of(start(primary))));
  }

  private void readForPublishing() {
    effects.add(new PromotionEffect.ReadObject(++operation, key, PLATFORM_TIMEOUT_MILLIS));
  }

  private void publishReplied(PlatformResult result) {
    if (result instanceof PlatformResult.Found found) {
      foundWhilePublishing(found.object());
    } else if (result instanceof PlatformResult.Conflict || noAnswer(result)) {
      readForPublishing();
    } else {
      setTimer(PUBLISH_RETRY_MILLIS);
    }
  }

  private void foundWhilePublishing(PlatformObject object) {
    Optional<PromotionRecord> found = PromotionRecord.read(object.body());
    if (found.isEmpty()) {
      fail(PromotionFailure.RECORD_UNREADABLE);
      return;
    }
    PromotionRecord record = found.get();
    if (!record.driver().equals(attemptId.toString())) {
      finish(new PromotionOutcome.Superseded(record));
    } else if (record.step() == PromotionStep.PUBLISHED) {
      finish(new PromotionOutcome.Published(record));
    } else {
      version = object.version();
      publish();
    }
  }

  private void write(PromotionRecord record) {
    effects.add(
        new PromotionEffect.WriteObject(
            ++operation, key, version, record, PLATFORM_TIMEOUT_MILLIS));
  }

  private PromotionRecord record(
      PromotionStep step, Optional<MemberId> primary, Optional<Position> start) {
    return new PromotionRecord(term, attemptId.toString(), step, primary, start, plan.cause());
  }

  private void call(MemberId member, EndpointCall call) {
    effects.add(new PromotionEffect.CallMember(member, call, MEMBER_TIMEOUT_MILLIS));
  }

  private void setTimer(long delayMillis) {
    effects.add(new PromotionEffect.SetTimer(++timer, delayMillis));
  }

  private void fail(PromotionFailure reason) {
    finish(new PromotionOutcome.Failed(reason, highestTerm));
  }

  private void finish(PromotionOutcome outcome) {
    phase = Phase.DONE;
    effects.add(new PromotionEffect.Finished(outcome));
  }

  private static boolean noAnswer(PlatformResult result) {
    return result instanceof PlatformResult.Failed failed
        && failed.failure() == PlatformFailure.NO_ANSWER;
  }

  /** The phases of an attempt. */
  public enum Phase {
    /** Not started. */
    NEW,
    /** Reading the record on the platform, or waiting for another driver. */
    READING,
    /** Claiming a term. */
    CLAIMING,
    /** Fencing members. */
    FENCING,
    /** Promoting the selected member. */
    PROMOTING,
    /** Publishing the new primary. */
    PUBLISHING,
    /** Finished. */
    DONE
  }

  /** Another driver's claim and the time at which this attempt first observed it. */
  private record Claim(long term, String attemptId, long firstSeenMillis) {
    boolean sameAs(Claim other) {
      return term == other.term && attemptId.equals(other.attemptId);
    }
  }
}
