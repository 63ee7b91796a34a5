package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.MemberRole;
import org.sardinebay.platform.PlatformFailure;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.DatabaseRecord;
import org.sardinebay.record.MemberRecord;

/**
 * Runs several promotion drivers against fake members and a fake platform in virtual time.
 *
 * <p>While {@link #faults} is set, calls and replies are lost or delayed, members and drivers
 * crash, and drivers start promotions that are not needed.
 */
final class PromotionSimulation {
  private static final int DRIVER_COUNT = 3;

  private static final long STEP_MILLIS = 20;
  private static final long MAX_DELAY_MILLIS = 1_200;
  private static final long MAX_LATENCY_MILLIS = 10;
  private static final int MAX_DOWN_MILLIS = 3_000;
  private static final int MAX_REPLICATED_ENTRIES = 4;

  private final Map<MemberId, FakeMember> members = new TreeMap<>();
  private final Map<MemberId, Long> downUntilMillis = new HashMap<>();
  private final Map<Long, Set<MemberId>> primariesByTerm = new HashMap<>();
  private final Set<Position> confirmed = new HashSet<>();
  private final FakePlatform platform = new FakePlatform();
  private final DatabaseRecord database;
  private final Random random;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::timeMillis).thenComparing(Task::sequence));
  private final List<Driver> drivers = new ArrayList<>();
  private final MemberStandings standings = new MemberStandings();
  private boolean faults = true;
  private long platformUnavailableUntilMillis;
  private int promotions;
  private long nowMillis;
  private long sequence;

  PromotionSimulation(long seed, int memberCount) {
    random = new Random(seed);
    database = PromotionSamples.database(memberCount);
    for (MemberRecord record : database.members()) {
      members.put(record.id(), new FakeMember(record.id(), this::promoted));
    }
    for (int i = 0; i < DRIVER_COUNT; i++) {
      drivers.add(new Driver(i));
    }
  }

  void run(long millis) {
    long end = nowMillis + millis;
    schedule(STEP_MILLIS, this::step);
    while (!tasks.isEmpty() && tasks.peek().timeMillis <= end) {
      Task task = tasks.poll();
      nowMillis = task.timeMillis;
      task.action.run();
    }
    nowMillis = end;
    tasks.removeIf(task -> task.recurring);
  }

  void endFaults() {
    faults = false;
  }

  int promotions() {
    return promotions;
  }

  Set<Position> confirmed() {
    return confirmed;
  }

  Collection<FakeMember> members() {
    return members.values();
  }

  Optional<PromotionRecord> record() {
    return platform.record();
  }

  Optional<FakeMember> primary() {
    return members.values().stream()
        .filter(member -> member.role() == MemberRole.PRIMARY)
        .max(Comparator.comparingLong(FakeMember::term));
  }

  private void step() {
    members.values().forEach(this::stepMember);
    members.values().forEach(this::observe);
    drivers.forEach(Driver::step);
    tasks.add(new Task(nowMillis + STEP_MILLIS, sequence++, this::step, true));
  }

  private void stepMember(FakeMember member) {
    if (faults && chance(0.003)) {
      member.restart();
      downUntilMillis.put(member.id(), nowMillis + random.nextInt(MAX_DOWN_MILLIS));
    }
    if (!reachable(member)) {
      return;
    }
    if (member.role() == MemberRole.PRIMARY && chance(0.3)) {
      member.append();
    }
    if (member.role() == MemberRole.REPLICA && (!faults || chance(0.6))) {
      FakeMember source = members.get(member.primary().orElseThrow());
      if (reachable(source)) {
        member.replicateFrom(source, 1 + random.nextInt(MAX_REPLICATED_ENTRIES));
      }
    }
  }

  private boolean reachable(FakeMember member) {
    return nowMillis >= downUntilMillis.getOrDefault(member.id(), 0L);
  }

  private void observe(FakeMember member) {
    if (!reachable(member) || (faults && chance(0.3))) {
      return;
    }
    standings.put(member.standing(), nowMillis, nowMillis);
    long term = member.term();
    standings.receivedBy(database.majority(), term).ifPresent(position -> confirm(position, term));
  }

  private void confirm(Position position, long term) {
    if (confirmed.add(position)) {
      members.values().stream()
          .filter(other -> other.role() == MemberRole.PRIMARY && other.term() > term)
          .forEach(other -> assertContains(other, position));
    }
  }

  private void assertContains(FakeMember primary, Position position) {
    assertThat(primary.contains(position))
        .as(
            "confirmed entry %s in the log of %s, primary of term %d",
            position, primary.id(), primary.term())
        .isTrue();
  }

  private void promoted(FakeMember member) {
    promotions++;
    primariesByTerm.computeIfAbsent(member.term(), term -> new HashSet<>()).add(member.id());
    assertThat(primariesByTerm.get(member.term()))
        .as("primaries of term %d", member.term())
        .hasSize(1);
    confirmed.stream()
        .filter(position -> position.term() < member.term())
        .forEach(position -> assertContains(member, position));
  }

  private boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  private void schedule(long delayMillis, Runnable action) {
    tasks.add(new Task(nowMillis + delayMillis, sequence++, action, false));
  }

  private long randomLatencyMillis() {
    return 1L + random.nextInt((int) MAX_LATENCY_MILLIS);
  }

  private long randomDelayMillis() {
    return random.nextInt((int) MAX_DELAY_MILLIS);
  }

  private record Task(long timeMillis, long sequence, Runnable action, boolean recurring) {}

  /** The driver on one controller: starts attempts, executes their effects, and crashes. */
  private final class Driver {
    private final int number;
    private int incarnation;
    private long attempts;
    private Optional<PromotionStateMachine> running = Optional.empty();
    private long idleUntilMillis;
    private long replacedTerm;

    Driver(int number) {
      this.number = number;
    }

    void step() {
      if (faults && chance(0.004)) {
        running = Optional.empty();
        incarnation++;
      }
      if (faults && chance(0.002)) {
        platformUnavailableUntilMillis = nowMillis + randomDelayMillis();
      }
      boolean promotionWanted = faults ? chance(0.05) : !hasCurrentPrimary();
      boolean idle = running.isEmpty() || running.get().replaceable();
      if (promotionWanted && idle && nowMillis >= idleUntilMillis) {
        start();
      }
      if (!faults) {
        follow();
        publish();
      }
    }

    private boolean hasCurrentPrimary() {
      long highestTerm =
          members.values().stream().mapToLong(member -> member.term()).max().orElse(0);
      return primary().filter(member -> member.term() == highestTerm).isPresent();
    }

    private void start() {
      String process = "driver-" + number + "-" + incarnation;
      Promotion attempt = new Promotion(plan(), new PromotionAttemptId(process, ++attempts));
      running = Optional.of(attempt);
      deliver(attempt, new PromotionEvent.Started());
    }

    private PromotionPlan plan() {
      replacedTerm = Math.max(replacedTerm, primary().map(FakeMember::term).orElse(0L));
      return new PromotionPlan(
          database,
          PromotionCause.PRIMARY_SILENT,
          replacedTerm,
          faults
              ? replacedTerm
              : members.values().stream().mapToLong(member -> member.term()).max().orElse(0),
          Optional.empty(),
          faults && chance(0.2) ? Set.of(new MemberId("m0")) : Set.of(),
          Map.of());
    }

    private void follow() {
      primary()
          .filter(PromotionSimulation.this::reachable)
          .ifPresent(
              primary ->
                  members.values().stream()
                      .filter(member -> member != primary && !follows(member, primary))
                      .forEach(
                          member ->
                              member.handle(
                                  new EndpointCall.Follow(
                                      primary.term(), primary.id(), new Address("127.0.0.1", 1)))));
    }

    private boolean follows(FakeMember member, FakeMember primary) {
      return member.role() == MemberRole.REPLICA && member.term() == primary.term();
    }

    private void publish() {
      Optional<FakeMember> primary = primary().filter(PromotionSimulation.this::reachable);
      if (primary.isEmpty() || running.isPresent() || !hasCurrentPrimary()) {
        return;
      }
      long term = primary.get().term();
      if (record().filter(record -> current(record, term)).isPresent()) {
        return;
      }
      Position start =
          primary.get().standing().history().stream()
              .filter(position -> position.term() == term)
              .findFirst()
              .orElseThrow();
      running = Optional.of(new Publication(database.id(), term, primary.get().id(), start));
      deliver(running.get(), new PromotionEvent.Started());
    }

    private boolean current(PromotionRecord record, long term) {
      return record.term() > term || record.step() == PromotionStep.PUBLISHED;
    }

    private void deliver(PromotionStateMachine attempt, PromotionEvent event) {
      boolean current = running.filter(stateMachine -> stateMachine == attempt).isPresent();
      if (current) {
        attempt.handle(event, nowMillis).forEach(effect -> execute(attempt, effect));
      }
    }

    private void execute(PromotionStateMachine attempt, PromotionEffect effect) {
      if (effect instanceof PromotionEffect.CallMember call) {
        callMember(attempt, call);
      } else if (effect instanceof PromotionEffect.ReadObject read) {
        callPlatform(attempt, read.operation(), () -> platform.read(read.key()));
      } else if (effect instanceof PromotionEffect.WriteObject write) {
        callPlatform(attempt, write.operation(), () -> platform.write(write));
      } else if (effect instanceof PromotionEffect.SetTimer timer) {
        schedule(
            timer.delayMillis(),
            () -> deliver(attempt, new PromotionEvent.TimerEnded(timer.timer())));
      } else if (effect instanceof PromotionEffect.Finished finished) {
        applyOutcome(finished.outcome());
        running = Optional.empty();
        idleUntilMillis = nowMillis + random.nextInt(300);
      }
    }

    private void applyOutcome(PromotionOutcome outcome) {
      if (outcome instanceof PromotionOutcome.Superseded superseded) {
        replacedTerm = Math.max(replacedTerm, superseded.record().term());
      }
    }

    private void callMember(PromotionStateMachine attempt, PromotionEffect.CallMember effect) {
      FakeMember member = members.get(effect.member());
      boolean callDelayed = faults && chance(0.15);
      boolean replyLost = faults && chance(0.15);
      if (!reachable(member) || (faults && chance(0.1))) {
        reply(attempt, effect, effect.timeoutMillis(), new EndpointReply.NoReply());
      } else if (callDelayed) {
        schedule(randomDelayMillis(), () -> member.handle(effect.call()));
        reply(attempt, effect, effect.timeoutMillis(), new EndpointReply.NoReply());
      } else {
        schedule(
            randomLatencyMillis(),
            () -> {
              EndpointReply reply = member.handle(effect.call());
              boolean lost = replyLost;
              reply(
                  attempt,
                  effect,
                  lost ? effect.timeoutMillis() : randomLatencyMillis(),
                  lost ? new EndpointReply.NoReply() : reply);
            });
      }
    }

    private void reply(
        PromotionStateMachine attempt,
        PromotionEffect.CallMember effect,
        long delayMillis,
        EndpointReply reply) {
      schedule(
          delayMillis,
          () ->
              deliver(
                  attempt,
                  new PromotionEvent.MemberReplied(effect.member(), effect.call(), reply)));
    }

    private void callPlatform(PromotionStateMachine attempt, long operation, PlatformCall call) {
      if (nowMillis < platformUnavailableUntilMillis) {
        schedulePlatformReply(
            attempt, operation, randomLatencyMillis(), failed(PlatformFailure.UNAVAILABLE));
      } else if (faults && chance(0.2)) {
        schedule(randomDelayMillis(), call::run);
        schedulePlatformReply(attempt, operation, 500, failed(PlatformFailure.NO_ANSWER));
      } else {
        schedule(
            randomLatencyMillis(),
            () -> schedulePlatformReply(attempt, operation, randomLatencyMillis(), call.run()));
      }
    }

    private void schedulePlatformReply(
        PromotionStateMachine attempt, long operation, long delayMillis, PlatformResult result) {
      schedule(
          delayMillis,
          () -> deliver(attempt, new PromotionEvent.PlatformReplied(operation, result)));
    }

    private PlatformResult failed(PlatformFailure failure) {
      return new PlatformResult.Failed(failure);
    }
  }

  /** A platform call that takes effect when {@link #run} is called. */
  private interface PlatformCall {
    PlatformResult run();
  }
}
