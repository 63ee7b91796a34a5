package org.sardinebay.gateway.internal.request;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.Position;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.gateway.internal.version.Services;
import org.sardinebay.internal.request.OverflowPolicy;
import org.sardinebay.internal.version.ServiceView;
import org.sardinebay.net.peer.PeerHandler;
import org.sardinebay.net.peer.generated.Frame;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.StatementReply;
import org.sardinebay.net.peer.generated.TransactionCall;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.RouteKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the statements that another host forwards over one connection, and keeps the transactions
 * that the other host has open here. Open transactions are rolled back when the connection ends.
 */
public final class ForwardedStatements implements PeerHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ForwardedStatements.class);

  /**
   * How much longer a transaction may be idle here than on the caller's host, in milliseconds, so
   * that the caller's host ends it first unless it is gone.
   */
  private static final long IDLE_MARGIN_MILLIS = 1_000;

  private final Context context;
  private final Map<Long, OpenTransaction> transactions = new HashMap<>();
  private boolean disconnected;

  /**
   * The collaborators shared by all connections.
   *
   * @param loop the event loop that statements run on
   * @param clock the clock
   * @param services the services
   * @param runner runs statements on this host's connections to members
   * @param protocol the members' protocol
   * @param leaving whether this host is shutting down
   * @param responsive whether the event loop is known to make progress; called on any thread
   * @param opened called with the handler of each new connection
   */
  public record Context(
      Eventloop loop,
      Clock clock,
      Services services,
      StatementRunner runner,
      MemberProtocol protocol,
      BooleanSupplier leaving,
      BooleanSupplier responsive,
      Consumer<ForwardedStatements> opened) {}

  /**
   * A transaction that another host has open here, and whether one of its statements is running.
   */
  private static final class OpenTransaction {
    private final Transaction transaction;
    private boolean running;

    private OpenTransaction(Transaction transaction) {
      this.transaction = transaction;
    }
  }

  /** The state of the session on the other host, for one statement. */
  private static final class ForwardedSessionState implements StatementRequest.SessionState {
    private final Map<String, String> values;
    private Optional<Position> position;

    private ForwardedSessionState(StatementCall call) {
      this.values = StatementCodec.values(call);
      this.position = StatementCodec.position(call.getPositionTerm(), call.getPositionIndex());
    }

    @Override
    public Map<String, String> values() {
      return values;
    }

    @Override
    public Optional<Position> position() {
      return position;
    }

    @Override
    public void advance(Position seen) {
      position = Optional.of(position.map(seen::max).orElse(seen));
    }
  }

  /**
   * Creates the handler of a new connection from another host.
   *
   * @param context the collaborators shared by all connections
   */
  public ForwardedStatements(Context context) {
    this.context = context;
    context.loop().execute(() -> context.opened().accept(this));
  }

  @Override
  public CompletableFuture<Frame> handle(Frame call) {
    if (call.getStatementCall().getProbe() && context.responsive().getAsBoolean()) {
      // Answered on the connection's thread: statements may wait on the event loop for longer than
      // a probe does.
      return CompletableFuture.completedFuture(reply(StatementReply.newBuilder()));
    }
    CompletableFuture<Frame> answer = new CompletableFuture<>();
    context
        .loop()
        .execute(
            () -> {
              try {
                run(call.getStatementCall(), reply -> answer.complete(reply(reply)));
              } catch (RuntimeException e) {
                // No reply is sent, since the statement may have been sent to a member.
                answer.completeExceptionally(e);
              }
            });
    return answer;
  }

  private Frame reply(StatementReply.Builder reply) {
    return Frame.newBuilder()
        .setStatementReply(reply.setLeaving(context.leaving().getAsBoolean()))
        .build();
  }

  private void run(StatementCall call, Consumer<StatementReply.Builder> done) {
    if (call.getProbe()) {
      done.accept(StatementReply.newBuilder());
      return;
    }
    if (call.getTransaction().getRollsBack()) {
      rollBack(call);
      done.accept(StatementReply.newBuilder());
      return;
    }
    Optional<ServiceRuntime> service = context.services().service(call.getRoute().getService());
    Optional<DatabaseRoute> route = StatementCodec.route(call.getRoute());
    boolean continuesTransaction = call.hasTransaction() && !call.getTransaction().getFirst();
    boolean unknownTransaction =
        continuesTransaction && !transactions.containsKey(call.getTransaction().getNumber());
    boolean leaving = !continuesTransaction && context.leaving().getAsBoolean();
    if (service.isEmpty()
        || route.isEmpty()
        || disconnected
        || leaving
        || lacksCapacity(call, service.get())) {
      // A reply without "accepted" tells the other host that the statement did not run here.
      done.accept(StatementReply.newBuilder());
    } else if (!continuesTransaction && lacksPrimary(call, service.get())) {
      done.accept(StatementReply.newBuilder().setWithoutPrimary(true));
    } else if (unknownTransaction) {
      done.accept(
          StatementCodec.reply(
              new SessionReply.Failure(
                  ErrorCode.ABORTED,
                  "rolled back: the transaction was idle or its connection was lost")));
    } else {
      run(call, service.get(), route.get(), done);
    }
  }

  private static boolean lacksCapacity(StatementCall call, ServiceRuntime service) {
    return call.getOnlyAtOnce()
        && !service.hasCapacity(needsPrimary(call), StatementCodec.workspace(call));
  }

  private static boolean needsPrimary(StatementCall call) {
    boolean writes =
        call.hasTransaction() ? !call.getTransaction().getReadOnly() : call.getWrites();
    return writes || call.getRoute().getKind().equals(RouteKind.PRIMARY.name());
  }

  /** Whether the sender should try another home, because this one has no primary to run it. */
  private boolean lacksPrimary(StatementCall call, ServiceRuntime service) {
    long now = context.clock().millis();
    ServiceView view = service.view();
    boolean declines =
        call.getDeclineWithoutPrimary()
            && view.millisWithoutPrimary(now) >= OverflowPolicy.NO_PRIMARY_THRESHOLD_MILLIS;
    long startedAt = now - call.getElapsedMillis();
    return declines
        && (needsPrimary(call)
            || view.minimumPosition(startedAt, call.getRoute().getMaxStalenessMillis()).isEmpty());
  }

  private void run(
      StatementCall call,
      ServiceRuntime service,
      DatabaseRoute route,
      Consumer<StatementReply.Builder> done) {
    long now = context.clock().millis();
    service.becomeTemporaryHome(now);
    ForwardedSessionState session = new ForwardedSessionState(call);
    Optional<OpenTransaction> open =
        call.hasTransaction() ? Optional.of(open(call, service, route, now)) : Optional.empty();
    open.ifPresent(
        current -> {
          current.running = true;
          current.transaction.touch(now);
        });
    context
        .runner()
        .run(
            StatementCodec.request(call, session, now - call.getElapsedMillis()),
            open.map(current -> current.transaction),
            service,
            route,
            reply -> onStatementEnded(call, session, open, reply, done));
  }

  private OpenTransaction open(
      StatementCall call, ServiceRuntime service, DatabaseRoute route, long now) {
    TransactionCall transactionCall = call.getTransaction();
    return transactions.computeIfAbsent(
        transactionCall.getNumber(),
        number ->
            new OpenTransaction(
                new Transaction(
                    transactionCall.getBeginId(),
                    route,
                    service,
                    transactionCall.getReadOnly(),
                    now - transactionCall.getElapsedMillis())));
  }

  private void onStatementEnded(
      StatementCall call,
      ForwardedSessionState session,
      Optional<OpenTransaction> open,
      SessionReply reply,
      Consumer<StatementReply.Builder> done) {
    boolean finished = call.getCommits() || reply instanceof SessionReply.Failure || disconnected;
    if (open.isPresent()) {
      open.get().running = false;
      open.get().transaction.touch(context.clock().millis());
      if (finished) {
        endTransaction(call.getTransaction().getNumber(), MemberProtocol.INTERNAL_STATEMENT_ID);
      }
    }
    StatementReply.Builder message =
        StatementCodec.reply(reply).setTransactionOpen(open.isPresent() && !finished);
    session
        .position()
        .ifPresent(at -> message.setPositionTerm(at.term()).setPositionIndex(at.index()));
    done.accept(message);
  }

  private void rollBack(StatementCall call) {
    OpenTransaction open = transactions.get(call.getTransaction().getNumber());
    if (open != null && !open.running) {
      endTransaction(call.getTransaction().getNumber(), call.getRequestId());
    }
  }

  private void endTransaction(long number, String rollbackId) {
    OpenTransaction open = transactions.remove(number);
    open.transaction.unpin().ifPresent(pin -> pin.rollBack(context.protocol(), rollbackId));
  }

  @Override
  public void disconnected() {
    context.loop().execute(this::endAll);
  }

  private void endAll() {
    disconnected = true;
    for (Map.Entry<Long, OpenTransaction> entry : new ArrayList<>(transactions.entrySet())) {
      if (!entry.getValue().running) {
        endTransaction(entry.getKey(), MemberProtocol.INTERNAL_STATEMENT_ID);
      }
    }
  }

  /**
   * Rolls back transactions that have been idle for too long, because their caller's host has lost
   * them or because statements wait for their connections.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    long limit = context.services().table().limits().transactionIdleMillis() + IDLE_MARGIN_MILLIS;
    for (Map.Entry<Long, OpenTransaction> entry : new ArrayList<>(transactions.entrySet())) {
      OpenTransaction open = entry.getValue();
      boolean preempted = open.transaction.preempted();
      if (!open.running && (preempted || open.transaction.idleMillis(now) > limit)) {
        LOG.atInfo()
            .setMessage("forwarded_transaction_idle_too_long")
            .addKeyValue("request", open.transaction.beginId())
            .addKeyValue("limit_millis", limit)
            .addKeyValue("preempted", preempted)
            .log();
        endTransaction(entry.getKey(), MemberProtocol.INTERNAL_STATEMENT_ID);
      }
    }
  }

  /**
   * Whether the connection has ended and all its transactions are finished.
   *
   * @return true if this handler can be removed
   */
  public boolean isFinished() {
    return disconnected && transactions.isEmpty();
  }
}
