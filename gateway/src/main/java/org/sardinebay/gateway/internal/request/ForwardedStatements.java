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
 * The statements that one other host sends over one connection, with the transactions that it has
 * open here. They end with the connection.
 */
public final class ForwardedStatements implements PeerHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ForwardedStatements.class);

  /**
   * How much longer than at the caller's host a transaction may rest here, in milliseconds: that
   * host ends it first, unless it is gone.
   */
  private static final long IDLE_MARGIN_MILLIS = 1_000;

  private final Parts parts;
  private final Map<Long, Open> transactions = new HashMap<>();
  private boolean disconnected;

  /**
   * What the connections share.
   *
   * @param loop the loop that statements run on
   * @param clock the clock
   * @param services the services
   * @param runner runs statements from this host
   * @param protocol the members' protocol
   * @param leaving whether this host is about to stop
   * @param opened told of each connection
   */
  public record Parts(
      Eventloop loop,
      Clock clock,
      Services services,
      StatementRunner runner,
      MemberProtocol protocol,
      BooleanSupplier leaving,
      Consumer<ForwardedStatements> opened) {}

  /** A transaction, and whether a statement of it is running. */
  private static final class Open {
    private final Transaction transaction;
    private boolean running;

    private Open(Transaction transaction) {
      this.transaction = transaction;
    }
  }

  /** What the other host's session knows, for one statement. */
  private static final class Facts implements StatementRequest.SessionFacts {
    private final Map<String, String> values;
    private Optional<Position> position;

    private Facts(StatementCall call) {
      this.values = call.getValuesMap();
      this.position = StatementFrames.position(call.getPositionTerm(), call.getPositionIndex());
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
   * A new connection of another host.
   *
   * @param parts what the connections share
   */
  public ForwardedStatements(Parts parts) {
    this.parts = parts;
    parts.loop().execute(() -> parts.opened().accept(this));
  }

  @Override
  public CompletableFuture<Frame> handle(Frame call) {
    CompletableFuture<Frame> answer = new CompletableFuture<>();
    parts
        .loop()
        .execute(
            () ->
                run(
                    call.getStatementCall(),
                    reply ->
                        answer.complete(
                            Frame.newBuilder()
                                .setStatementReply(reply.setLeaving(parts.leaving().getAsBoolean()))
                                .build())));
    return answer;
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
    Optional<ServiceRuntime> service = parts.services().service(call.getRoute().getService());
    boolean continues = call.hasTransaction() && !call.getTransaction().getFirst();
    boolean unknown = continues && !transactions.containsKey(call.getTransaction().getNumber());
    boolean leaving = !continues && parts.leaving().getAsBoolean();
    if (service.isEmpty() || disconnected || leaving || lacksRoom(call, service.get())) {
      done.accept(StatementReply.newBuilder());
    } else if (unknown) {
      done.accept(
          StatementFrames.reply(
              new SessionReply.Failure(
                  ErrorCode.ABORTED, "rolled back: the transaction's connection was lost")));
    } else {
      run(call, service.get(), done);
    }
  }

  private static boolean lacksRoom(StatementCall call, ServiceRuntime service) {
    boolean writes =
        call.hasTransaction() ? !call.getTransaction().getReadOnly() : call.getWrites();
    boolean primaryOnly = writes || call.getRoute().getKind().equals(RouteKind.PRIMARY.name());
    return call.getOnlyAtOnce() && !service.hasRoom(primaryOnly);
  }

  private void run(
      StatementCall call, ServiceRuntime service, Consumer<StatementReply.Builder> done) {
    long now = parts.clock().millis();
    service.serveAsHome(now);
    DatabaseRoute route = StatementFrames.route(call.getRoute());
    Facts facts = new Facts(call);
    Optional<Open> open =
        call.hasTransaction() ? Optional.of(open(call, service, route, now)) : Optional.empty();
    open.ifPresent(
        o -> {
          o.running = true;
          o.transaction.used(now);
        });
    parts
        .runner()
        .run(
            StatementFrames.request(call, facts, now - call.getElapsedMillis()),
            open.map(o -> o.transaction),
            service,
            route,
            reply -> ended(call, facts, open, reply, done));
  }

  private Open open(StatementCall call, ServiceRuntime service, DatabaseRoute route, long now) {
    TransactionCall asked = call.getTransaction();
    return transactions.computeIfAbsent(
        asked.getNumber(),
        number ->
            new Open(
                new Transaction(
                    asked.getBeginId(),
                    route,
                    service,
                    asked.getReadOnly(),
                    now - asked.getElapsedMillis())));
  }

  private void ended(
      StatementCall call,
      Facts facts,
      Optional<Open> open,
      SessionReply reply,
      Consumer<StatementReply.Builder> done) {
    boolean over = call.getCommits() || reply instanceof SessionReply.Failure || disconnected;
    if (open.isPresent()) {
      open.get().running = false;
      open.get().transaction.used(parts.clock().millis());
      if (over) {
        end(call.getTransaction().getNumber(), MemberProtocol.OWN_ID);
      }
    }
    StatementReply.Builder message =
        StatementFrames.reply(reply).setTransactionOpen(open.isPresent() && !over);
    facts
        .position()
        .ifPresent(at -> message.setPositionTerm(at.term()).setPositionIndex(at.index()));
    done.accept(message);
  }

  private void rollBack(StatementCall call) {
    Open open = transactions.get(call.getTransaction().getNumber());
    if (open != null && !open.running) {
      end(call.getTransaction().getNumber(), call.getRequestId());
    }
  }

  private void end(long number, String rollbackId) {
    Open open = transactions.remove(number);
    open.transaction.unpin().ifPresent(pin -> pin.rollBack(parts.protocol(), rollbackId));
  }

  @Override
  public void disconnected() {
    parts.loop().execute(this::endAll);
  }

  private void endAll() {
    disconnected = true;
    for (Map.Entry<Long, Open> entry : new ArrayList<>(transactions.entrySet())) {
      if (!entry.getValue().running) {
        end(entry.getKey(), MemberProtocol.OWN_ID);
      }
    }
  }

  /**
   * Ends transactions that rest too long: their caller's host has lost them.
   *
   * @param now the time
   */
  public void tick(long now) {
    long limit = parts.services().table().limits().transactionIdleMillis() + IDLE_MARGIN_MILLIS;
    for (Map.Entry<Long, Open> entry : new ArrayList<>(transactions.entrySet())) {
      Open open = entry.getValue();
      if (!open.running && open.transaction.idleMillis(now) > limit) {
        LOG.atInfo()
            .setMessage("forwarded_transaction_idle_too_long")
            .addKeyValue("request", open.transaction.beginId())
            .addKeyValue("limit_millis", limit)
            .log();
        end(entry.getKey(), MemberProtocol.OWN_ID);
      }
    }
  }

  /**
   * Whether the connection has ended and nothing of it runs any more.
   *
   * @return true if it may be forgotten
   */
  public boolean over() {
    return disconnected && transactions.isEmpty();
  }
}
