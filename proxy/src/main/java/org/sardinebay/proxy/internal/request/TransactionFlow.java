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
import org.sardinebay.internal.request.WriteStateMachine;
import org.sardinebay.internal.request.WriteStep;
import org.sardinebay.proxy.internal.connection.AcquireResult;
import org.sardinebay.proxy.internal.connection.ConnectionLease;
import org.sardinebay.proxy.internal.connection.OpenTransaction;
import org.sardinebay.proxy.internal.connection.TransactionTable;
import org.sardinebay.proxy.internal.process.ProxyRuntime;
import org.sardinebay.proxy.internal.version.DatabaseContext;

/**
 * Executes the requests of transactions. One endpoint connection is reserved for one transaction
 * from its begin until the member confirms its end. If the end is not confirmed, the connection is
 * closed, so that no other request can join the open transaction.
 *
 * <pre>{@code
 * flow.begin(execution, session);
 * flow.statement(transaction, execution);
 * flow.commit(transaction, execution);
 * flow.rollback(transaction, execution);
 * }</pre>
 */
public final class TransactionFlow {
  private final ProxyRuntime runtime;
  private final DatabaseContext context;
  private final TransactionTable table;
  private final Supplier<String> idGenerator;

  /**
   * Creates a flow for one database.
   *
   * @param runtime the shared services of the proxy
   * @param context the database
   * @param table the transactions open on this proxy
   * @param idGenerator generates unique ids
   */
  public TransactionFlow(
      ProxyRuntime runtime,
      DatabaseContext context,
      TransactionTable table,
      Supplier<String> idGenerator) {
    this.runtime = runtime;
    this.context = context;
    this.table = table;
    this.idGenerator = idGenerator;
  }

  /**
   * Begins a transaction on the primary.
   *
   * @param execution the begin request
   * @param session the last position that the caller's session wrote or read
   * @return done with the transaction id, or not-run
   */
  public CompletableFuture<Answer> begin(Execution execution, Optional<Position> session) {
    WriteStateMachine stateMachine =
        new WriteStateMachine(execution.deadline(), context.policy(), Optional.empty(), false);
    WriteStep step = context.decide(view -> stateMachine.next(view, now())).decision();
    if (step instanceof WriteStep.Finish finish) {
      return CompletableFuture.completedFuture(finish.answer());
    }
    WriteStep.Send send = (WriteStep.Send) step;
    boolean behindSession = session.map(Position::term).orElse(0L) > send.term();
    if (behindSession) {
      return notRun(new Failure.NoPrimary(context.database().id()));
    }
    long queueDeadline = AttemptTimeout.queueDeadline(execution.deadline(), now());
    return context
        .pool(send.primary())
        .acquire(execution.caller(), queueDeadline)
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
      return new Answer.NotRun(failure, WriteStateMachine.RETRY_AFTER_PROMOTION_MILLIS);
    }
    String id = TransactionTable.newId(runtime.identity().host(), idGenerator.get());
    OpenTransaction transaction =
        new OpenTransaction(
            id,
            execution.caller(),
            context.database().id(),
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
   * @param execution the statement to run
   * @return done with the rows; any failure other than a bad statement or a busy transaction ends
   *     the transaction
   */
  public CompletableFuture<Answer> statement(OpenTransaction transaction, Execution execution) {
    return runExclusively(transaction, execution, reply -> onStatement(transaction, reply));
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
    abort(transaction);
    return refusedAs(reply, EndpointRefusal.CONFLICT)
        ? refused(new Failure.Conflict())
        : notRun(new Failure.PrimaryUnreachable(transaction.primary()));
  }

  /**
   * Rolls back a transaction.
   *
   * @param transaction the transaction
   * @param execution the rollback
   * @return done, or refused if another statement is still running; the connection is closed if the
   *     member does not confirm the rollback
   */
  public CompletableFuture<Answer> rollback(OpenTransaction transaction, Execution execution) {
    return runExclusively(
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
   * @param execution the commit with its idempotency key
   * @return done once the commit is acknowledged, refused (conflict, reused idempotency key or busy
   *     transaction), not-run, or unknown
   */
  public CompletableFuture<Answer> commit(OpenTransaction transaction, Execution execution) {
    return runExclusively(transaction, execution, reply -> onCommit(transaction, execution, reply));
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
    boolean knownNotRun =
        reply instanceof EndpointReply.Refused || reply instanceof EndpointReply.NotSent;
    return knownNotRun
        ? notRun(new Failure.PrimaryUnreachable(transaction.primary()))
        : IdempotencyKeyResolver.resolve(runtime, context, execution);
  }

  private CompletableFuture<Answer> acknowledge(
      MemberId primary, Execution execution, EndpointReply reply) {
    return new WriteFlow(runtime, context, execution.withKind(StatementKind.REVOKE), true)
        .resumeFrom(primary, reply)
        .thenApply(IdempotencyKeyResolver::tombstoneToNotRun);
  }

  private CompletableFuture<Answer> runExclusively(
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

  private void abort(OpenTransaction transaction) {
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
        new Answer.NotRun(failure, WriteStateMachine.RETRY_AFTER_PROMOTION_MILLIS));
  }

  private static CompletableFuture<Answer> refused(Failure failure) {
    return CompletableFuture.completedFuture(new Answer.Refused(failure));
  }

  private long now() {
    return runtime.clock().millis();
  }
}
