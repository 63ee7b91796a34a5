package org.sardinebay.controller.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.controller.internal.process.ControllerRuntime;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.version.ControllerInfo;
import org.sardinebay.internal.version.DatabaseWatch;
import org.sardinebay.internal.version.KnownPrimary;
import org.sardinebay.internal.version.Promotion;
import org.sardinebay.internal.version.PromotionAttemptId;
import org.sardinebay.internal.version.PromotionEffect;
import org.sardinebay.internal.version.PromotionEvent;
import org.sardinebay.internal.version.PromotionFailure;
import org.sardinebay.internal.version.PromotionOutcome;
import org.sardinebay.internal.version.PromotionPlan;
import org.sardinebay.internal.version.PromotionRecord;
import org.sardinebay.internal.version.PromotionStateMachine;
import org.sardinebay.internal.version.TermClaims;
import org.sardinebay.internal.version.WatchAssignment;
import org.sardinebay.internal.version.WatchStep;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.SuspicionCall;
import org.sardinebay.net.peer.generated.SuspicionReply;
import org.sardinebay.platform.PlatformObject;
import org.sardinebay.platform.PlatformResult;
import org.sardinebay.record.MemberRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the state machines of one database: the watch that monitors it and, while one is in
 * progress, the promotion of a new primary.
 *
 * <pre>{@code
 * supervisor.tick(assignment, leavingMembers); // every 100 ms
 * }</pre>
 *
 * <p>One lock guards the state machines; their effects are executed after the lock is released.
 */
public final class DatabaseSupervisor {
  private static final Logger LOG = LoggerFactory.getLogger(DatabaseSupervisor.class);
  private static final long MEMBER_CALL_TIMEOUT_MILLIS = 300;
  private static final long SUSPICION_TIMEOUT_MILLIS = 300;
  private static final long RETRY_MILLIS = 200;
  private static final long PLATFORM_RETRY_MILLIS = 500;
  private static final long RETRY_DELAY_PER_RANK_MILLIS = 150;

  private final ControllerRuntime runtime;
  private final Object lock = new Object();
  private final DatabaseWatch watch;
  private final TermClaims termClaims;
  private WatchAssignment assignment;
  private Optional<PromotionStateMachine> running = Optional.empty();
  private Optional<PromotionOutcome> lastOutcome = Optional.empty();
  private Optional<PromotionPlan> lastPlan = Optional.empty();
  private long attempts;
  private long nextAttemptMillis;

  /**
   * Creates the supervisor of a database.
   *
   * @param runtime the shared services of the controller
   * @param assignment this controller's assignment to the watch of the database
   */
  public DatabaseSupervisor(ControllerRuntime runtime, WatchAssignment assignment) {
    this.runtime = runtime;
    this.assignment = assignment;
    this.termClaims = new TermClaims(runtime.invariantReporter());
    this.watch =
        new DatabaseWatch(
            assignment.database(),
            runtime.self().failureDomain(),
            runtime.invariantReporter(),
            runtime.clock().millis());
  }

  /**
   * Runs one cycle: polls members, queries the other watchers, and starts a promotion or
   * publication that is due.
   *
   * @param newAssignment this controller's current assignment to the watch of the database
   * @param leaving the members that the host list marks as leaving
   */
  public void tick(WatchAssignment newAssignment, Set<MemberId> leaving) {
    long now = runtime.clock().millis();
    List<Runnable> actions = new ArrayList<>();
    synchronized (lock) {
      assignment = newAssignment;
      watch.updateConfiguration(newAssignment.database(), leaving);
      WatchStep step = watch.poll(newAssignment.rank(), now);
      step.polls().forEach(member -> actions.add(() -> pollProgress(member, now)));
      step.follows()
          .forEach(follow -> actions.add(() -> sendFollow(follow.member(), follow.call())));
      if (step.querySuspicion()) {
        actions.addAll(suspicionCalls());
      }
      actions.addAll(startDuePromotion(step, now));
    }
    actions.forEach(Runnable::run);
  }

  /**
   * Handles a promotion record that was received from the platform.
   *
   * @param record the state of the latest promotion of the database
   */
  public void onPromotionRecord(PromotionRecord record) {
    synchronized (lock) {
      observe(record);
    }
  }

  /**
   * Answers the suspicion call of another watcher.
   *
   * @param call the database and the term whose primary the other watcher suspects
   * @return the time in milliseconds for which the primary has been silent; {@code known} is false
   *     if this controller knows no primary of the term
   */
  public SuspicionReply suspicion(SuspicionCall call) {
    synchronized (lock) {
      Optional<KnownPrimary> primary = watch.primary();
      return SuspicionReply.newBuilder()
          .setKnown(primary.filter(known -> known.term() == call.getTerm()).isPresent())
          .setTerm(primary.map(KnownPrimary::term).orElse(0L))
          .setSilentMillis(watch.silentMillis(runtime.clock().millis()))
          .setFailureDomain(runtime.self().failureDomain().value())
          .build();
    }
  }

  /**
   * Whether this controller is running a promotion or publication for the database.
   *
   * @return true from its start to its end
   */
  public boolean promoting() {
    synchronized (lock) {
      return running.isPresent();
    }
  }

  /**
   * Reads the state while holding the lock.
   *
   * @param reader computes the result from the state
   * @param <T> the type of the result
   * @return the result
   */
  public <T> T read(Function<SupervisorState, T> reader) {
    synchronized (lock) {
      return reader.apply(new SupervisorState(assignment, watch, running, lastPlan, lastOutcome));
    }
  }

  private List<Runnable> startDuePromotion(WatchStep step, long now) {
    boolean obsolete =
        running
            .filter(stateMachine -> inReadingPhase(stateMachine) && !step.promotionNeeded())
            .isPresent();
    if (obsolete) {
      running = Optional.empty();
    }
    boolean canStart = running.isEmpty() || running.get().replaceable();
    if (!canStart || now < nextAttemptMillis) {
      return List.of();
    }
    if (step.promotion().isPresent()) {
      return start(promotion(step.promotion().get()), now);
    }
    if (step.publication().isPresent() && running.isEmpty()) {
      return start(step.publication().get(), now);
    }
    return List.of();
  }

  private static boolean inReadingPhase(PromotionStateMachine stateMachine) {
    return stateMachine instanceof Promotion promotion
        && promotion.phase() == Promotion.Phase.READING;
  }

  private Promotion promotion(PromotionPlan plan) {
    PromotionAttemptId attemptId = new PromotionAttemptId(runtime.process(), ++attempts);
    lastPlan = Optional.of(plan);
    runtime.registry().counter("sardinebay_promotions_started").increment();
    LOG.atInfo()
        .setMessage("promotion_started")
        .addKeyValue("database", plan.database().id())
        .addKeyValue("cause", plan.cause())
        .addKeyValue("ledTerm", plan.replacedTerm())
        .addKeyValue("driver", attemptId)
        .log();
    return new Promotion(plan, attemptId);
  }

  private List<Runnable> start(PromotionStateMachine stateMachine, long now) {
    running = Optional.of(stateMachine);
    return handle(stateMachine, new PromotionEvent.Started(), now);
  }

  private void deliver(PromotionStateMachine stateMachine, PromotionEvent event) {
    List<Runnable> actions;
    synchronized (lock) {
      if (running.filter(current -> current == stateMachine).isEmpty()) {
        return;
      }
      actions = handle(stateMachine, event, runtime.clock().millis());
    }
    actions.forEach(Runnable::run);
  }

  private List<Runnable> handle(
      PromotionStateMachine stateMachine, PromotionEvent event, long now) {
    List<Runnable> actions = new ArrayList<>();
    for (PromotionEffect effect : stateMachine.handle(event, now)) {
      apply(effect, now);
      actions.add(() -> execute(stateMachine, effect));
    }
    return actions;
  }

  private void apply(PromotionEffect effect, long now) {
    if (effect instanceof PromotionEffect.Claimed claimed) {
      PromotionAttemptId attemptId = new PromotionAttemptId(runtime.process(), attempts);
      termClaims.claimed(assignment.database().id(), claimed.term(), attemptId.toString());
    } else if (effect instanceof PromotionEffect.Promoted promoted) {
      watch.promoted(promoted.term(), promoted.primary(), promoted.start(), now);
      logPromoted(promoted);
    } else if (effect instanceof PromotionEffect.Finished finished) {
      finish(finished.outcome(), now);
    }
  }

  private void finish(PromotionOutcome outcome, long now) {
    running = Optional.empty();
    lastOutcome = Optional.of(outcome);
    if (outcome instanceof PromotionOutcome.Published published) {
      observe(published.record());
    } else if (outcome instanceof PromotionOutcome.Superseded superseded) {
      observe(superseded.record());
    } else if (outcome instanceof PromotionOutcome.Failed failed) {
      long delay =
          failed.reason() == PromotionFailure.PLATFORM_UNAVAILABLE
              ? PLATFORM_RETRY_MILLIS
              : RETRY_MILLIS;
      nextAttemptMillis = now + delay + assignment.rank() * RETRY_DELAY_PER_RANK_MILLIS;
    }
    LOG.atInfo()
        .setMessage("promotion_ended")
        .addKeyValue("database", assignment.database().id())
        .addKeyValue("outcome", outcome.getClass().getSimpleName())
        .addKeyValue("detail", '"' + outcome.toString() + '"')
        .log();
  }

  private void observe(PromotionRecord record) {
    termClaims.claimed(assignment.database().id(), record.term(), record.driver());
    watch.onPromotionRecord(record, runtime.clock().millis());
  }

  private void logPromoted(PromotionEffect.Promoted promoted) {
    runtime.registry().counter("sardinebay_promotions").increment();
    LOG.atInfo()
        .setMessage("primary_changed")
        .addKeyValue("database", assignment.database().id())
        .addKeyValue("term", promoted.term())
        .addKeyValue("primary", promoted.primary())
        .addKeyValue("start", promoted.start().index())
        .log();
  }

  private void execute(PromotionStateMachine stateMachine, PromotionEffect effect) {
    if (effect instanceof PromotionEffect.CallMember call) {
      CompletableFuture<Void> unused =
          callMember(call.member(), call.call(), call.timeoutMillis())
              .thenAccept(
                  reply ->
                      deliver(
                          stateMachine,
                          new PromotionEvent.MemberReplied(call.member(), call.call(), reply)));
    } else if (effect instanceof PromotionEffect.ReadObject read) {
      deliverPlatformReply(
          stateMachine,
          read.operation(),
          runtime.platform().read(read.key(), read.timeoutMillis()));
    } else if (effect instanceof PromotionEffect.WriteObject write) {
      deliverPlatformReply(
          stateMachine,
          write.operation(),
          runtime
              .platform()
              .write(
                  write.key(),
                  write.expectedVersion(),
                  write.record().body(),
                  write.timeoutMillis()));
    } else if (effect instanceof PromotionEffect.SetTimer timer) {
      ScheduledFuture<?> unused =
          runtime
              .timer()
              .schedule(
                  () -> deliver(stateMachine, new PromotionEvent.TimerEnded(timer.timer())),
                  timer.delayMillis(),
                  TimeUnit.MILLISECONDS);
    }
  }

  private void deliverPlatformReply(
      PromotionStateMachine stateMachine,
      long operation,
      CompletableFuture<PlatformResult> result) {
    CompletableFuture<Void> unused =
        result.thenAccept(
            answer -> {
              recordClaim(answer);
              deliver(stateMachine, new PromotionEvent.PlatformReplied(operation, answer));
            });
  }

  private void recordClaim(PlatformResult answer) {
    if (answer instanceof PlatformResult.Found found) {
      PlatformObject object = found.object();
      PromotionRecord.read(object.body())
          .ifPresent(
              record -> {
                synchronized (lock) {
                  termClaims.claimed(assignment.database().id(), record.term(), record.driver());
                }
              });
    }
  }

  private void pollProgress(MemberId member, long polledAtMillis) {
    EndpointCall call = new EndpointCall.Progress(0, 0, 0);
    CompletableFuture<Void> unused =
        callMember(member, call, MEMBER_CALL_TIMEOUT_MILLIS)
            .thenAccept(
                reply -> {
                  synchronized (lock) {
                    watch.onProgressReply(member, reply, polledAtMillis, runtime.clock().millis());
                  }
                });
  }

  private void sendFollow(MemberId member, EndpointCall call) {
    CompletableFuture<Void> unused =
        callMember(member, call, MEMBER_CALL_TIMEOUT_MILLIS)
            .thenAccept(
                reply ->
                    LOG.atInfo()
                        .setMessage("follow_sent")
                        .addKeyValue("member", member)
                        .addKeyValue("reply", reply.getClass().getSimpleName())
                        .log());
  }

  private List<Runnable> suspicionCalls() {
    long term = watch.primary().map(KnownPrimary::term).orElse(0L);
    SuspicionCall call =
        SuspicionCall.newBuilder()
            .setDatabase(assignment.database().id().value())
            .setTerm(term)
            .build();
    Frame frame = Frame.newBuilder().setSuspicionCall(call).build();
    List<Runnable> calls = new ArrayList<>();
    assignment.otherWatchers().forEach(other -> calls.add(() -> sendSuspicionCall(other, frame)));
    return calls;
  }

  private void sendSuspicionCall(ControllerInfo other, Frame frame) {
    CompletableFuture<Void> unused =
        runtime
            .peers()
            .call(other.address(), frame, SUSPICION_TIMEOUT_MILLIS)
            .thenAccept(result -> onSuspicionReply(other, result));
  }

  private void onSuspicionReply(ControllerInfo other, PeerResult result) {
    if (result instanceof PeerResult.Reply reply && reply.frame().hasSuspicionReply()) {
      SuspicionReply report = reply.frame().getSuspicionReply();
      if (report.getKnown()) {
        synchronized (lock) {
          watch.onSuspicionReport(
              other.failureDomain(),
              report.getTerm(),
              report.getSilentMillis(),
              runtime.clock().millis());
        }
      }
    }
  }

  /** Calls a member; one that has left the database's record meanwhile is not called. */
  private CompletableFuture<EndpointReply> callMember(
      MemberId member, EndpointCall call, long timeoutMillis) {
    return address(member)
        .map(address -> runtime.endpoints().call(address, call, timeoutMillis))
        .orElseGet(() -> CompletableFuture.supplyAsync(EndpointReply.NotSent::new));
  }

  private Optional<Address> address(MemberId member) {
    WatchAssignment current;
    synchronized (lock) {
      current = assignment;
    }
    return current.database().members().stream()
        .filter(record -> record.id().equals(member))
        .map(MemberRecord::address)
        .findFirst();
  }
}
