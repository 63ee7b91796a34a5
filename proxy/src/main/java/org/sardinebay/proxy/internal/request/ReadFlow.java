package org.sardinebay.proxy.internal.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Answer;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.request.ReadRequirement;
import org.sardinebay.internal.request.ReadRoute;
import org.sardinebay.internal.request.ReadRouter;
import org.sardinebay.internal.request.ReadStateMachine;
import org.sardinebay.internal.request.ReadStep;
import org.sardinebay.proxy.internal.connection.AcquireResult;
import org.sardinebay.proxy.internal.connection.ConnectionLease;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;
import org.sardinebay.proxy.internal.version.ViewDecision;

/**
 * Executes one read: performs the steps that its {@link ReadStateMachine} decides on.
 *
 * <pre>{@code
 * new ReadFlow(runtime, context, execution, requirement).start().thenAccept(answer -> ...);
 * }</pre>
 */
public final class ReadFlow {
  private static final long RECHECK_MILLIS = 100;

  private final ProxyRuntime runtime;
  private final DatabaseContext context;
  private final Execution execution;
  private final ReadRequirement requirement;
  private final ReadStateMachine stateMachine;
  private final CompletableFuture<Answer> answer = new CompletableFuture<>();
  private boolean awaiting;

  /**
   * Creates a read that has not been sent yet.
   *
   * @param runtime the shared services of the proxy
   * @param context the database to read from
   * @param execution the statement to run
   * @param requirement the session position and the maximum age that the result must satisfy
   */
  public ReadFlow(
      ProxyRuntime runtime,
      DatabaseContext context,
      Execution execution,
      ReadRequirement requirement) {
    this.runtime = runtime;
    this.context = context;
    this.execution = execution;
    this.requirement = requirement;
    ReadRouter router = new ReadRouter(runtime.identity().failureDomain());
    this.stateMachine = new ReadStateMachine(router, requirement, execution.deadline());
  }

  /**
   * Starts the read.
   *
   * @return completes with the final answer
   */
  public CompletableFuture<Answer> start() {
    perform(context.decide(view -> stateMachine.next(view, context, now())));
    return answer;
  }

  private void perform(ViewDecision<ReadStep> viewDecision) {
    ReadStep step = viewDecision.decision();
    if (step instanceof ReadStep.AwaitDurable) {
      await(viewDecision.nextChange());
      return;
    }
    stopAwaiting();
    if (step instanceof ReadStep.Send send) {
      acquire(send.route());
    } else if (step instanceof ReadStep.Finish finish) {
      finish(finish.answer());
    }
  }

  private void acquire(ReadRoute.ToMember route) {
    long queueDeadline = AttemptTimeout.queueDeadline(execution.deadline(), now());
    var unused =
        context
            .pool(route.member())
            .acquire(execution.caller(), queueDeadline)
            .thenAccept(acquired -> onAcquired(route, acquired));
  }

  private void onAcquired(ReadRoute.ToMember route, AcquireResult acquired) {
    if (acquired instanceof AcquireResult.Denied denied) {
      perform(
          context.decide(view -> stateMachine.onNotSent(denied.failure(), view, context, now())));
    } else if (acquired instanceof AcquireResult.Leased leased) {
      send(route, leased.lease());
    }
  }

  private void send(ReadRoute.ToMember route, ConnectionLease lease) {
    long timeout = AttemptTimeout.read(execution.deadline(), now());
    EndpointCall call =
        new EndpointCall.Execute(
            lease.connection(),
            execution.kind(),
            execution.statement(),
            0,
            route.minimumPosition(),
            Math.min(route.maxWaitMillis(), timeout),
            Optional.empty(),
            timeout);
    var unused = lease.execute(call, timeout).thenAccept(reply -> onReply(route, lease, reply));
  }

  private void onReply(ReadRoute.ToMember route, ConnectionLease lease, EndpointReply reply) {
    lease.release(reply);
    if (reply instanceof EndpointReply.Done done) {
      context.observeApplied(route.member(), done.position());
    }
    if (reply instanceof EndpointReply.Refused refused) {
      context.observeApplied(route.member(), refused.applied());
      if (refused.refusal() == EndpointRefusal.LEAVING) {
        context.observeLeaving(route.member());
      }
    }
    perform(context.decide(view -> stateMachine.onReply(reply, view, context, now())));
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
                () ->
                    perform(
                        context.decide(view -> stateMachine.onViewChanged(view, context, now()))));
  }

  private void stopAwaiting() {
    if (awaiting) {
      awaiting = false;
      context.stopAwaitingConfirmation();
    }
  }

  private void finish(Answer outcome) {
    if (outcome instanceof Answer.Done done) {
      long sessionIndex = requirement.session().map(position -> position.index()).orElse(0L);
      runtime
          .invariantReporter()
          .check(
              done.position().orElseThrow().index() >= sessionIndex,
              InvariantName.READ_SHOWS_SESSION,
              done.position() + " for a session at " + requirement.session());
    }
    boolean first = answer.complete(outcome);
    runtime.invariantReporter().check(first, InvariantName.ONE_ANSWER, "a read was answered twice");
  }

  private long now() {
    return runtime.clock().millis();
  }
}
