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
import org.sardinebay.internal.request.WriteStateMachine;
import org.sardinebay.internal.request.WriteStep;
import org.sardinebay.internal.version.DatabaseView;
import org.sardinebay.proxy.internal.connection.AcquireResult;
import org.sardinebay.proxy.internal.connection.ConnectionLease;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;
import org.sardinebay.proxy.internal.version.ViewDecision;

/**
 * Executes one write: performs the steps that its {@link WriteStateMachine} decides on.
 *
 * <pre>{@code
 * new WriteFlow(runtime, context, execution, false).start().thenAccept(answer -> ...);
 * }</pre>
 */
public final class WriteFlow {
  private static final long RECHECK_MILLIS = 100;

  private final ProxyRuntime runtime;
  private final DatabaseContext context;
  private final Execution execution;
  private final WriteStateMachine stateMachine;
  private final CompletableFuture<Answer> answer = new CompletableFuture<>();
  private boolean awaiting;

  /**
   * Creates a write that has not been sent yet.
   *
   * @param runtime the shared services of the proxy
   * @param context the database to write to
   * @param execution the statement to run
   * @param inDoubt whether an earlier attempt may have run it
   */
  public WriteFlow(
      ProxyRuntime runtime, DatabaseContext context, Execution execution, boolean inDoubt) {
    this.runtime = runtime;
    this.context = context;
    this.execution = execution;
    this.stateMachine =
        new WriteStateMachine(
            execution.deadline(), context.policy(), execution.callerKey(), inDoubt);
  }

  /**
   * Starts the write.
   *
   * @return completes with the final answer
   */
  public CompletableFuture<Answer> start() {
    next();
    return answer;
  }

  /**
   * Continues with a reply that another flow received, such as the reply to a commit.
   *
   * @param member the primary that ran the statement
   * @param reply the primary's reply
   * @return completes with the final answer
   */
  public CompletableFuture<Answer> resumeFrom(MemberId member, EndpointReply reply) {
    stateMachine.onSent(member);
    ViewDecision<WriteStep> viewDecision =
        context.decide(view -> stateMachine.onReply(reply, view, now()));
    observeWritten(member, reply);
    perform(viewDecision);
    return answer;
  }

  private void next() {
    perform(context.decide(view -> stateMachine.next(view, now())));
  }

  private void perform(ViewDecision<WriteStep> viewDecision) {
    WriteStep step = viewDecision.decision();
    if (step instanceof WriteStep.AwaitAck) {
      await(viewDecision.nextChange());
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
      finish(stateMachine.answerWithoutRetry());
      return;
    }
    var unused = runtime.timer().schedule(this::next, millis, TimeUnit.MILLISECONDS);
  }

  private void acquire(WriteStep.Send send) {
    long queueDeadline = AttemptTimeout.queueDeadline(execution.deadline(), now());
    var unused =
        context
            .pool(send.primary())
            .acquire(execution.caller(), queueDeadline)
            .thenAccept(acquired -> onAcquired(send.primary(), acquired));
  }

  private void onAcquired(MemberId member, AcquireResult acquired) {
    if (acquired instanceof AcquireResult.Denied denied) {
      ViewDecision<WriteStep> viewDecision =
          context.decide(
              view ->
                  stateMachine.onNotSent(denied.failure(), denied.retryAfterMillis(), view, now()));
      perform(viewDecision);
    } else if (acquired instanceof AcquireResult.Leased leased) {
      sendIfStillPrimary(member, leased.lease());
    }
  }

  private void sendIfStillPrimary(MemberId member, ConnectionLease lease) {
    ViewDecision<WriteStep> viewDecision = context.decide(view -> stateMachine.next(view, now()));
    boolean samePrimary =
        viewDecision.decision() instanceof WriteStep.Send send && send.primary().equals(member);
    if (!samePrimary) {
      lease.releaseUnused();
      perform(viewDecision);
      return;
    }
    long term = ((WriteStep.Send) viewDecision.decision()).term();
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
    observeWritten(member, reply);
    perform(context.decide(view -> stateMachine.onReply(reply, view, now())));
  }

  private void observeWritten(MemberId member, EndpointReply reply) {
    if (reply instanceof EndpointReply.Done done) {
      context.observeWritten(member, done.position());
    }
  }

  private void await(CompletableFuture<Void> nextChange) {
    if (!awaiting) {
      awaiting = true;
      context.startAwaitingConfirmation();
    }
    var unused =
        nextChange
            .copy()
            .completeOnTimeout(null, RECHECK_MILLIS, TimeUnit.MILLISECONDS)
            .thenRun(
                () -> perform(context.decide(view -> stateMachine.onViewChanged(view, now()))));
  }

  private void stopAwaiting() {
    if (awaiting) {
      awaiting = false;
      context.stopAwaitingConfirmation();
    }
  }

  private void finish(Answer outcome) {
    checkOutcome(outcome);
    boolean first = answer.complete(outcome);
    runtime
        .invariantReporter()
        .check(first, InvariantName.ONE_ANSWER, "a write was answered twice");
  }

  private void checkOutcome(Answer outcome) {
    if (outcome instanceof Answer.NotRun notRun) {
      boolean notRunProven = !stateMachine.inDoubt() || stateMachine.keyRevoked();
      runtime
          .invariantReporter()
          .check(notRunProven, InvariantName.NOT_RUN_WAS_NOT_SENT, notRun.failure().code());
    }
    if (outcome instanceof Answer.Done done) {
      Optional<Position> position = done.position();
      boolean allowed =
          context
              .decide((DatabaseView view) -> context.policy().acknowledges(view, position.get()))
              .decision();
      runtime
          .invariantReporter()
          .check(allowed, InvariantName.ACKNOWLEDGED_BY_POLICY, String.valueOf(position));
    }
  }

  private long now() {
    return runtime.clock().millis();
  }
}
