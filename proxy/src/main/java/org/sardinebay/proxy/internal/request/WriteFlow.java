package org.sardinebay.proxy.internal.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Answer;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.request.WriteMachine;
import org.sardinebay.internal.request.WriteStep;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.proxy.internal.connection.AcquireResult;
import org.sardinebay.proxy.internal.connection.ConnectionLease;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;
import org.sardinebay.proxy.internal.version.ViewDecision;

/**
 * Carries out one write: takes the steps that its {@link WriteMachine} decides.
 *
 * <pre>{@code
 * new WriteFlow(runtime, shard, execution, false).start().thenAccept(answer -> ...);
 * }</pre>
 */
public final class WriteFlow {
  private static final long RECHECK_MILLIS = 100;

  private final ProxyRuntime runtime;
  private final DatabaseContext shard;
  private final Execution execution;
  private final WriteMachine machine;
  private final CompletableFuture<Answer> answer = new CompletableFuture<>();
  private boolean awaiting;

  /**
   * A write that has not been sent.
   *
   * @param runtime the proxy
   * @param shard the database
   * @param execution what to run
   * @param inDoubt whether an earlier attempt elsewhere may have run it
   */
  public WriteFlow(
      ProxyRuntime runtime, DatabaseContext shard, Execution execution, boolean inDoubt) {
    this.runtime = runtime;
    this.shard = shard;
    this.execution = execution;
    this.machine =
        new WriteMachine(execution.deadline(), shard.policy(), execution.callerKey(), inDoubt);
  }

  /**
   * Sends the write.
   *
   * @return the final answer
   */
  public CompletableFuture<Answer> start() {
    next();
    return answer;
  }

  /**
   * Goes on with a reply that another flow received, such as a commit's.
   *
   * @param member the primary that ran it
   * @param reply its reply
   * @return the final answer
   */
  public CompletableFuture<Answer> resumeFrom(MemberId member, EndpointReply reply) {
    machine.onSent(member);
    ViewDecision<WriteStep> observed = shard.decide(view -> machine.onReply(reply, view, now()));
    noteWritten(member, reply);
    take(observed);
    return answer;
  }

  private void next() {
    take(shard.decide(view -> machine.next(view, now())));
  }

  private void take(ViewDecision<WriteStep> observed) {
    WriteStep step = observed.decision();
    if (step instanceof WriteStep.AwaitAck) {
      await(observed.nextChange());
      return;
    }
    stopAwaiting();
    if (step instanceof WriteStep.Send send) {
      acquire(send);
    } else if (step instanceof WriteStep.Pause pause) {
      retryLater(pause.millis());
    } else if (step instanceof WriteStep.Finish finish) {
      finish(finish.answer());
    }
  }

  private void retryLater(long millis) {
    if (!runtime.retries().tryRetry()) {
      finish(machine.outOfRetries());
      return;
    }
    var unused = runtime.timer().schedule(this::next, millis, TimeUnit.MILLISECONDS);
  }

  private void acquire(WriteStep.Send send) {
    long until = AttemptTimeout.queueUntil(execution.deadline(), now());
    var unused =
        shard
            .pool(send.primary())
            .acquire(execution.caller(), until)
            .thenAccept(acquired -> onAcquired(send.primary(), acquired));
  }

  private void onAcquired(MemberId member, AcquireResult acquired) {
    if (acquired instanceof AcquireResult.Denied denied) {
      ViewDecision<WriteStep> observed =
          shard.decide(
              view -> machine.onNotSent(denied.failure(), denied.retryAfterMillis(), view, now()));
      take(observed);
    } else if (acquired instanceof AcquireResult.Leased leased) {
      sendIfStillPrimary(member, leased.lease());
    }
  }

  private void sendIfStillPrimary(MemberId member, ConnectionLease lease) {
    ViewDecision<WriteStep> observed = shard.decide(view -> machine.next(view, now()));
    boolean same =
        observed.decision() instanceof WriteStep.Send send && send.primary().equals(member);
    if (!same) {
      lease.releaseUnused();
      take(observed);
      return;
    }
    long term = ((WriteStep.Send) observed.decision()).term();
    long timeout = AttemptTimeout.write(execution.deadline(), now());
    EndpointCall call =
        new EndpointCall.Execute(
            lease.connection(),
            execution.kind(),
            execution.statement(),
            term,
            Position.ZERO,
            0,
            execution.key(),
            timeout);
    var unused = lease.execute(call, timeout).thenAccept(reply -> onReply(member, lease, reply));
  }

  private void onReply(MemberId member, ConnectionLease lease, EndpointReply reply) {
    lease.release(reply);
    noteWritten(member, reply);
    take(shard.decide(view -> machine.onReply(reply, view, now())));
  }

  private void noteWritten(MemberId member, EndpointReply reply) {
    if (reply instanceof EndpointReply.Done done) {
      shard.observeWritten(member, done.position());
    }
  }

  private void await(CompletableFuture<Void> nextChange) {
    if (!awaiting) {
      awaiting = true;
      shard.startAwaitingConfirmation();
    }
    var unused =
        nextChange
            .copy()
            .completeOnTimeout(null, RECHECK_MILLIS, TimeUnit.MILLISECONDS)
            .thenRun(() -> take(shard.decide(view -> machine.onView(view, now()))));
  }

  private void stopAwaiting() {
    if (awaiting) {
      awaiting = false;
      shard.stopAwaitingConfirmation();
    }
  }

  private void finish(Answer outcome) {
    checkOutcome(outcome);
    boolean first = answer.complete(outcome);
    runtime.invariants().check(first, InvariantName.ONE_ANSWER, "a write was answered twice");
  }

  private void checkOutcome(Answer outcome) {
    if (outcome instanceof Answer.NotRun notRun) {
      boolean neverSent = !machine.inDoubt() || machine.voided();
      runtime
          .invariants()
          .check(neverSent, InvariantName.NOT_RUN_WAS_NOT_SENT, notRun.failure().code());
    }
    if (outcome instanceof Answer.Done done) {
      Optional<Position> position = done.position();
      boolean allowed =
          shard
              .decide((DatabaseView view) -> shard.policy().acknowledges(view, position.get()))
              .decision();
      runtime
          .invariants()
          .check(allowed, InvariantName.ACKNOWLEDGED_BY_POLICY, String.valueOf(position));
    }
  }

  private long now() {
    return runtime.clock().millis();
  }
}
