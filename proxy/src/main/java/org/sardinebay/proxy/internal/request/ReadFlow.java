package org.sardinebay.proxy.internal.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Answer;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.request.ReadMachine;
import org.sardinebay.internal.request.ReadNeed;
import org.sardinebay.internal.request.ReadRoute;
import org.sardinebay.internal.request.ReadRouter;
import org.sardinebay.internal.request.ReadStep;
import org.sardinebay.proxy.internal.connection.AcquireResult;
import org.sardinebay.proxy.internal.connection.ConnectionLease;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;
import org.sardinebay.proxy.internal.version.ViewDecision;

/**
 * Carries out one read: takes the steps that its {@link ReadMachine} decides.
 *
 * <pre>{@code
 * new ReadFlow(runtime, shard, execution, need).start().thenAccept(answer -> ...);
 * }</pre>
 */
public final class ReadFlow {
  private static final long RECHECK_MILLIS = 100;

  private final ProxyRuntime runtime;
  private final DatabaseContext shard;
  private final Execution execution;
  private final ReadNeed need;
  private final ReadMachine machine;
  private final CompletableFuture<Answer> answer = new CompletableFuture<>();
  private boolean awaiting;

  /**
   * A read that has not been sent.
   *
   * @param runtime the proxy
   * @param shard the database
   * @param execution what to run
   * @param need what it has to show
   */
  public ReadFlow(ProxyRuntime runtime, DatabaseContext shard, Execution execution, ReadNeed need) {
    this.runtime = runtime;
    this.shard = shard;
    this.execution = execution;
    this.need = need;
    ReadRouter router = new ReadRouter(runtime.identity().failureDomain());
    this.machine = new ReadMachine(router, need, execution.deadline());
  }

  /**
   * Sends the read.
   *
   * @return the final answer
   */
  public CompletableFuture<Answer> start() {
    take(shard.decide(view -> machine.next(view, shard, now())));
    return answer;
  }

  private void take(ViewDecision<ReadStep> observed) {
    ReadStep step = observed.decision();
    if (step instanceof ReadStep.AwaitDurable) {
      await(observed.nextChange());
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
    long until = AttemptTimeout.queueUntil(execution.deadline(), now());
    var unused =
        shard
            .pool(route.member())
            .acquire(execution.caller(), until)
            .thenAccept(acquired -> onAcquired(route, acquired));
  }

  private void onAcquired(ReadRoute.ToMember route, AcquireResult acquired) {
    if (acquired instanceof AcquireResult.Denied denied) {
      take(shard.decide(view -> machine.onNotSent(denied.failure(), view, shard, now())));
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
            route.least(),
            Math.min(route.maxWaitMillis(), timeout),
            Optional.empty(),
            timeout);
    var unused = lease.execute(call, timeout).thenAccept(reply -> onReply(route, lease, reply));
  }

  private void onReply(ReadRoute.ToMember route, ConnectionLease lease, EndpointReply reply) {
    lease.release(reply);
    if (reply instanceof EndpointReply.Done done) {
      shard.observeApplied(route.member(), done.position());
    }
    if (reply instanceof EndpointReply.Refused refused) {
      shard.observeApplied(route.member(), refused.applied());
      if (refused.refusal() == EndpointRefusal.LEAVING) {
        shard.observeLeaving(route.member());
      }
    }
    take(shard.decide(view -> machine.onReply(reply, view, shard, now())));
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
            .thenRun(() -> take(shard.decide(view -> machine.onView(view, shard, now()))));
  }

  private void stopAwaiting() {
    if (awaiting) {
      awaiting = false;
      shard.stopAwaitingConfirmation();
    }
  }

  private void finish(Answer outcome) {
    if (outcome instanceof Answer.Done done) {
      long least = need.session().map(position -> position.index()).orElse(0L);
      runtime
          .invariants()
          .check(
              done.position().orElseThrow().index() >= least,
              InvariantName.READ_SHOWS_SESSION,
              done.position() + " for a session at " + need.session());
    }
    boolean first = answer.complete(outcome);
    runtime.invariants().check(first, InvariantName.ONE_ANSWER, "a read was answered twice");
  }

  private long now() {
    return runtime.clock().millis();
  }
}
