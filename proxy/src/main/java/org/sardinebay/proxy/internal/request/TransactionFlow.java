package org.sardinebay.proxy.internal.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sardinebay.Answer;
import org.sardinebay.Failure;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.RouteReason;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.internal.request.WriteMachine;
import org.sardinebay.internal.request.WriteStep;
import org.sardinebay.proxy.internal.connection.AcquireResult;
import org.sardinebay.proxy.internal.connection.ConnectionLease;
import org.sardinebay.proxy.internal.connection.OpenTransaction;
import org.sardinebay.proxy.internal.connection.TransactionTable;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;

/**
 * Carries out the requests of transactions. One endpoint connection belongs to one transaction from
 * its begin until its end is confirmed; where the end is not confirmed the connection is closed.
 *
 * <pre>{@code
 * flow.begin(execution, least);
 * flow.statement(transaction, execution);
 * flow.commit(transaction, execution);
 * flow.rollback(transaction, execution);
 * }</pre>
 */
public final class TransactionFlow {
  private final ProxyRuntime runtime;
  private final DatabaseContext shard;
  private final TransactionTable table;
  private final Supplier<String> names;

  /**
   * A flow for one database.
   *
   * @param runtime the proxy
   * @param shard the database
   * @param table the open transactions
   * @param names makes unique texts
   */
  public TransactionFlow(
      ProxyRuntime runtime, DatabaseContext shard, TransactionTable table, Supplier<String> names) {
    this.runtime = runtime;
    this.shard = shard;
    this.table = table;
    this.names = names;
  }

  /**
   * Begins a transaction on the primary.
   *
   * @param execution the request
   * @param session what the caller's session wrote or read last
   * @return done with the transaction's name, or not-run
   */
  public CompletableFuture<Answer> begin(Execution execution, Optional<Position> session) {
    WriteMachine machine =
        new WriteMachine(execution.deadline(), shard.policy(), Optional.empty(), false);
    WriteStep step = shard.decide(view -> machine.next(view, now())).decision();
    if (step instanceof WriteStep.Finish finish) {
      return CompletableFuture.completedFuture(finish.answer());
    }
    WriteStep.Send send = (WriteStep.Send) step;
    boolean behindSession = session.map(Position::term).orElse(0L) > send.term();
    if (behindSession) {
      return notRun(new Failure.NoPrimary(shard.database().id()));
    }
    long until = AttemptTimeout.queueUntil(execution.deadline(), now());
    return shard
        .pool(send.primary())
        .acquire(execution.caller(), until)
        .thenCompose(acquired -> onAcquired(execution, send, acquired));
  }

  private CompletableFuture<Answer> onAcquired(
      Execution execution, WriteStep.Send send, AcquireResult acquired) {
    if (acquired instanceof AcquireResult.Denied denied) {
      return CompletableFuture.completedFuture(
          new Answer.NotRun(denied.failure(), denied.retryAfterMillis()));
    }
    ConnectionLease lease = ((AcquireResult.Leased) acquired).lease();
    long timeout = AttemptTimeout.write(execution.deadline(), now());
    return lease
        .execute(call(lease, execution, send.term(), timeout), timeout)
        .thenApply(reply -> onBegun(execution, send, lease, reply));
  }

  private Answer onBegun(
      Execution execution, WriteStep.Send send, ConnectionLease lease, EndpointReply reply) {
    if (!(reply instanceof EndpointReply.Done done)) {
      lease.discard();
      Failure failure = new Failure.PrimaryUnreachable(send.primary());
      return new Answer.NotRun(failure, WriteMachine.RETRY_AFTER_PROMOTION_MILLIS);
    }
    String id = TransactionTable.newId(runtime.identity().host(), names.get());
    OpenTransaction transaction =
        new OpenTransaction(
            id,
            execution.caller(),
            shard.database().id(),
            send.primary(),
            send.term(),
            lease,
            now());
    table.add(transaction);
    return done(transaction, done, Optional.of(id));
  }

  /**
   * Runs a statement in a transaction.
   *
   * @param transaction the transaction
   * @param execution the request
   * @return done with its rows; any failure but a bad statement ends the transaction
   */
  public CompletableFuture<Answer> statement(OpenTransaction transaction, Execution execution) {
    return entered(transaction, execution, reply -> onStatement(transaction, reply));
  }

  private CompletableFuture<Answer> onStatement(OpenTransaction transaction, EndpointReply reply) {
    if (reply instanceof EndpointReply.Done done) {
      transaction.release(now());
      return CompletableFuture.completedFuture(done(transaction, done, Optional.empty()));
    }
    if (refusedAs(reply, EndpointRefusal.BAD_STATEMENT)) {
      transaction.release(now());
      return refused(new Failure.BadStatement());
    }
    end(transaction);
    return refusedAs(reply, EndpointRefusal.CONFLICT)
        ? refused(new Failure.Conflict())
        : notRun(new Failure.PrimaryUnreachable(transaction.primary()));
  }

  /**
   * Drops a transaction.
   *
   * @param transaction the transaction
   * @param execution the request
   * @return done; the connection is closed if the member did not confirm
   */
  public CompletableFuture<Answer> rollback(OpenTransaction transaction, Execution execution) {
    return entered(
        transaction,
        execution,
        reply -> {
          table.remove(transaction);
          transaction.lease().release(reply);
          EndpointReply.Done done =
              reply instanceof EndpointReply.Done confirmed
                  ? confirmed
                  : new EndpointReply.Done(List.of(), Position.ZERO, false);
          return CompletableFuture.completedFuture(done(transaction, done, Optional.empty()));
        });
  }

  /**
   * Commits a transaction.
   *
   * @param transaction the transaction
   * @param execution the request with its idempotency key
   * @return done once the commit is acknowledged, refused on a conflict, not-run, or unknown
   */
  public CompletableFuture<Answer> commit(OpenTransaction transaction, Execution execution) {
    return entered(transaction, execution, reply -> onCommit(transaction, execution, reply));
  }

  private CompletableFuture<Answer> onCommit(
      OpenTransaction transaction, Execution execution, EndpointReply reply) {
    table.remove(transaction);
    if (reply instanceof EndpointReply.Done) {
      transaction.lease().release(reply);
      return acknowledge(transaction.primary(), execution, reply);
    }
    transaction.lease().discard();
    if (refusedAs(reply, EndpointRefusal.CONFLICT)) {
      return refused(new Failure.Conflict());
    }
    if (refusedAs(reply, EndpointRefusal.KEY_REUSED)) {
      return refused(new Failure.KeyReused());
    }
    boolean certain =
        reply instanceof EndpointReply.Refused || reply instanceof EndpointReply.NotSent;
    return certain
        ? notRun(new Failure.PrimaryUnreachable(transaction.primary()))
        : IdempotencyKeyResolver.resolve(runtime, shard, execution);
  }

  private CompletableFuture<Answer> acknowledge(
      MemberId primary, Execution execution, EndpointReply reply) {
    return new WriteFlow(runtime, shard, execution.withKind(StatementKind.REVOKE), true)
        .resumeFrom(primary, reply)
        .thenApply(IdempotencyKeyResolver::tombstoneToNotRun);
  }

  private CompletableFuture<Answer> entered(
      OpenTransaction transaction,
      Execution execution,
      Function<EndpointReply, CompletableFuture<Answer>> onReply) {
    if (!transaction.tryAcquire(now())) {
      return refused(new Failure.TransactionBusy());
    }
    ConnectionLease lease = transaction.lease();
    long timeout = AttemptTimeout.write(execution.deadline(), now());
    return lease
        .execute(call(lease, execution, transaction.term(), timeout), timeout)
        .thenCompose(onReply);
  }

  private void end(OpenTransaction transaction) {
    table.remove(transaction);
    transaction.lease().discard();
  }

  private static EndpointCall call(
      ConnectionLease lease, Execution execution, long term, long timeout) {
    return new EndpointCall.Execute(
        lease.connection(),
        execution.kind(),
        execution.statement(),
        term,
        Position.ZERO,
        0,
        execution.key(),
        timeout);
  }

  private static boolean refusedAs(EndpointReply reply, EndpointRefusal refusal) {
    return reply instanceof EndpointReply.Refused refused && refused.refusal() == refusal;
  }

  private static Answer done(
      OpenTransaction transaction, EndpointReply.Done done, Optional<String> id) {
    return new Answer.Done(
        done.rows(),
        Optional.empty(),
        done.replay(),
        id,
        Optional.empty(),
        OptionalLong.empty(),
        new Answer.ServedBy(transaction.primary(), true, RouteReason.WRITES_GO_TO_PRIMARY));
  }

  private static CompletableFuture<Answer> notRun(Failure failure) {
    return CompletableFuture.completedFuture(
        new Answer.NotRun(failure, WriteMachine.RETRY_AFTER_PROMOTION_MILLIS));
  }

  private static CompletableFuture<Answer> refused(Failure failure) {
    return CompletableFuture.completedFuture(new Answer.Refused(failure));
  }

  private long now() {
    return runtime.clock().millis();
  }
}
