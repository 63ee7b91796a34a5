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

/** Runs one promotion at a time in virtual time, with the faults that a test asks for. */
final class PromotionBench {
  private static final long LATENCY_MILLIS = 5;
  private static final long MAX_RUN_MILLIS = 60_000;

  private final Map<MemberId, FakeMember> members = new TreeMap<>();
  private final FakePlatform platform = new FakePlatform();
  private final Set<MemberId> down = new HashSet<>();
  private final List<MemberId> leaders = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::timeMillis).thenComparing(Event::order));
  private Promotion promotion;
  private Optional<PromotionOutcome> outcome = Optional.empty();
  private Optional<Lost> lost = Optional.empty();
  private int lostWriteAnswers;
  private long platformDownUntilMillis;
  private long promotedMillis;
  private long nowMillis;
  private long order;
  private long attempts;

  PromotionBench() {
    for (MemberRecord record : PromotionSamples.database(3).members()) {
      members.put(record.id(), new FakeMember(record.id(), member -> leaders.add(member.id())));
    }
  }

  FakeMember member(MemberId id) {
    return members.get(id);
  }

  void down(MemberId id) {
    down.add(id);
  }

  void loseReplies(MemberId id, Class<? extends EndpointCall> call, int count) {
    lost = Optional.of(new Lost(id, call, count));
  }

  void loseWriteAnswers(int count) {
    lostWriteAnswers = count;
  }

  void platformDown(long millis) {
    platformDownUntilMillis = nowMillis + millis;
  }

  /** Starts a promotion and runs it to its end. */
  void run(PromotionPlan plan, String process) {
    start(plan, process);
    resume();
  }

  /** Starts a promotion and leaves it, as if its driver died, once it has reached a phase. */
  void runUntil(PromotionPlan plan, String process, Promotion.Phase phase) {
    start(plan, process);
    while (promotion.phase() != phase) {
      next();
    }
  }

  void resume() {
    long end = nowMillis + MAX_RUN_MILLIS;
    while (outcome.isEmpty() && nowMillis < end) {
      next();
    }
    List.copyOf(events).forEach(event -> event.action.run());
    events.clear();
  }

  List<MemberId> leaders() {
    return leaders;
  }

  MemberId newestLeader() {
    return leaders.get(leaders.size() - 1);
  }

  PromotionRecord published() {
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
    promotion = new Promotion(plan, new DriverName(process, ++attempts));
    feed(new PromotionEvent.Started());
  }

  private void next() {
    Event event = events.remove();
    nowMillis = event.timeMillis;
    event.action.run();
  }

  private void feed(PromotionEvent event) {
    promotion.handle(event, nowMillis).forEach(this::carryOut);
  }

  private void carryOut(PromotionEffect effect) {
    if (effect instanceof PromotionEffect.CallMember call) {
      callMember(call);
    } else if (effect instanceof PromotionEffect.ReadObject read) {
      answer(read.operation(), () -> platformUp() ? platform.read(read.key()) : unavailable());
    } else if (effect instanceof PromotionEffect.WriteObject write) {
      answer(write.operation(), () -> write(write));
    } else if (effect instanceof PromotionEffect.SetTimer timer) {
      at(timer.delayMillis(), () -> feed(new PromotionEvent.TimerEnded(timer.timer())));
    } else if (effect instanceof PromotionEffect.Promoted) {
      promotedMillis = nowMillis;
    } else if (effect instanceof PromotionEffect.Finished finished) {
      outcome = Optional.of(finished.outcome());
    }
  }

  private void callMember(PromotionEffect.CallMember call) {
    boolean up = !down.contains(call.member());
    at(
        up ? LATENCY_MILLIS : call.timeoutMillis(),
        () -> {
          EndpointReply reply =
              up ? member(call.member()).take(call.call()) : new EndpointReply.NoReply();
          EndpointReply seen = loses(call) ? new EndpointReply.NoReply() : reply;
          feed(new PromotionEvent.MemberReplied(call.member(), call.call(), seen));
        });
  }

  private boolean loses(PromotionEffect.CallMember call) {
    Optional<Lost> matching = lost.filter(rule -> rule.matches(call));
    matching.ifPresent(rule -> lost = rule.next());
    return matching.isPresent();
  }

  private PlatformResult write(PromotionEffect.WriteObject write) {
    if (!platformUp()) {
      return unavailable();
    }
    PlatformResult result = platform.write(write);
    if (lostWriteAnswers > 0) {
      lostWriteAnswers--;
      return new PlatformResult.Failed(PlatformFailure.NO_ANSWER);
    }
    return result;
  }

  private boolean platformUp() {
    return nowMillis >= platformDownUntilMillis;
  }

  private static PlatformResult unavailable() {
    return new PlatformResult.Failed(PlatformFailure.UNAVAILABLE);
  }

  private void answer(long operation, Supplier<PlatformResult> result) {
    at(LATENCY_MILLIS, () -> feed(new PromotionEvent.PlatformReplied(operation, result.get())));
  }

  private void at(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, order++, action));
  }

  private record Event(long timeMillis, long order, Runnable action) {}

  private record Lost(MemberId member, Class<? extends EndpointCall> call, int count) {
    boolean matches(PromotionEffect.CallMember effect) {
      return effect.member().equals(member) && call.isInstance(effect.call());
    }

    Optional<Lost> next() {
      return count > 1 ? Optional.of(new Lost(member, call, count - 1)) : Optional.empty();
    }
  }
}
