package org.sardinebay.internal.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.sardinebay.MemberId;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.MemberRecord;

/** Runs one promotion at a time in virtual time and injects the faults that a test requests. */
final class PromotionHarness {
  private static final long LATENCY_MILLIS = 5;
  private static final long MAX_RUN_MILLIS = 60_000;

  private final Map<MemberId, FakeMember> members = new TreeMap<>();
  private final FakePlatform platform = new FakePlatform();
  private final Set<MemberId> unreachable = new HashSet<>();
  private final List<MemberId> promotedMembers = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeMillis).thenComparing(Event::sequence));
  private Promotion promotion;
  private Optional<PromotionOutcome> outcome = Optional.empty();
  private Optional<ReplyLoss> replyLoss = Optional.empty();
  private int writeRepliesToLose;
  private long platformUnavailableUntilMillis;
  private long promotedMillis;
  private long nowMillis;
  private long sequence;
  private long attempts;

  PromotionHarness() {
    for (MemberRecord record : PromotionSamples.database(3).members()) {
      members.put(
          record.id(), new FakeMember(record.id(), member -> promotedMembers.add(member.id())));
    }
  }

  FakeMember member(MemberId id) {
    return members.get(id);
  }

  void makeUnreachable(MemberId id) {
    unreachable.add(id);
  }

  void loseReplies(MemberId id, Class<? extends EndpointCall> call, int count) {
    replyLoss = Optional.of(new ReplyLoss(id, call, count));
  }

  void loseWriteReplies(int count) {
    writeRepliesToLose = count;
  }

  void makePlatformUnavailable(long millis) {
    platformUnavailableUntilMillis = nowMillis + millis;
  }

  /** Starts a promotion and runs it until it finishes. */
  void run(PromotionPlan plan, String process) {
    start(plan, process);
    resume();
  }

  /**
   * Starts a promotion and stops in a phase. {@link #resume} continues it; starting another
   * promotion discards it, as a crash of its driver would.
   */
  void runUntil(PromotionPlan plan, String process, Promotion.Phase phase) {
    start(plan, process);
    while (promotion.phase() != phase) {
      runNextEvent();
    }
  }

  void resume() {
    long end = nowMillis + MAX_RUN_MILLIS;
    while (outcome.isEmpty() && nowMillis < end) {
      runNextEvent();
    }
    List.copyOf(events).forEach(event -> event.action.run());
    events.clear();
  }

  List<MemberId> promotedMembers() {
    return promotedMembers;
  }

  MemberId lastPromotedMember() {
    return promotedMembers.get(promotedMembers.size() - 1);
  }

  PromotionRecord publishedRecord() {
    return platform
        .record()
        .filter(record -> record.step() == PromotionStep.PUBLISHED)
        .orElseThrow();
  }

  PromotionOutcome outcome() {
    return outcome.orElseThrow();
  }

  long promotedMillis() {
    return promotedMillis;
  }

  long nowMillis() {
    return nowMillis;
  }

  private void start(PromotionPlan plan, String process) {
    events.clear();
    outcome = Optional.empty();
    promotion = new Promotion(plan, new PromotionAttemptId(process, ++attempts));
    deliver(new PromotionEvent.Started());
  }

  private void runNextEvent() {
    Event event = events.remove();
    nowMillis = event.timeMillis;
    event.action.run();
  }

  private void deliver(PromotionEvent event) {
    promotion.handle(event, nowMillis).forEach(this::execute);
  }

  private void execute(PromotionEffect effect) {
    if (effect instanceof PromotionEffect.CallMember call) {
      callMember(call);
    } else if (effect instanceof PromotionEffect.ReadObject read) {
      schedulePlatformReply(
          read.operation(), () -> platformAvailable() ? platform.read(read.key()) : unavailable());
    } else if (effect instanceof PromotionEffect.WriteObject write) {
      schedulePlatformReply(write.operation(), () -> write(write));
    } else if (effect instanceof PromotionEffect.SetTimer timer) {
      schedule(timer.delayMillis(), () -> deliver(new PromotionEvent.TimerEnded(timer.timer())));
    } else if (effect instanceof PromotionEffect.Promoted) {
      promotedMillis = nowMillis;
    } else if (effect instanceof PromotionEffect.Finished finished) {
      outcome = Optional.of(finished.outcome());
    }
  }

  private void callMember(PromotionEffect.CallMember call) {
    boolean reachable = !unreachable.contains(call.member());
    schedule(
        reachable ? LATENCY_MILLIS : call.timeoutMillis(),
        () -> {
          EndpointReply reply =
              reachable ? member(call.member()).handle(call.call()) : new EndpointReply.NoReply();
          EndpointReply observedReply = loseReply(call) ? new EndpointReply.NoReply() : reply;
          deliver(new PromotionEvent.MemberReplied(call.member(), call.call(), observedReply));
        });
  }

  private boolean loseReply(PromotionEffect.CallMember call) {
    Optional<ReplyLoss> matching = replyLoss.filter(loss -> loss.matches(call));
    matching.ifPresent(loss -> replyLoss = loss.next());
    return matching.isPresent();
  }

  private PlatformResult write(PromotionEffect.WriteObject write) {
    if (!platformAvailable()) {
      return unavailable();
    }
    PlatformResult result = platform.write(write);
    if (writeRepliesToLose > 0) {
      writeRepliesToLose--;
      return new PlatformResult.Failed(PlatformFailure.NO_ANSWER);
    }
    return result;
  }

  private boolean platformAvailable() {
    return nowMillis >= platformUnavailableUntilMillis;
  }

  private static PlatformResult unavailable() {
    return new PlatformResult.Failed(PlatformFailure.UNAVAILABLE);
  }

  private void schedulePlatformReply(long operation, Supplier<PlatformResult> result) {
    schedule(
        LATENCY_MILLIS, () -> deliver(new PromotionEvent.PlatformReplied(operation, result.get())));
  }

  private void schedule(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, sequence++, action));
  }

  private record Event(long timeMillis, long sequence, Runnable action) {}

  private record ReplyLoss(MemberId member, Class<? extends EndpointCall> call, int count) {
    boolean matches(PromotionEffect.CallMember effect) {
      return effect.member().equals(member) && call.isInstance(effect.call());
    }

    Optional<ReplyLoss> next() {
      return count > 1 ? Optional.of(new ReplyLoss(member, call, count - 1)) : Optional.empty();
    }
  }
}
