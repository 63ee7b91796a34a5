package org.sardinebay.gateway.internal.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.connection.HomeLink;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.Homes;
import org.sardinebay.gateway.internal.version.Overflow;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.internal.request.ForwardPolicy;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.StatementReply;
import org.sardinebay.session.DatabaseRoute;

/**
 * Runs one statement by way of a home of its service. Without a home that answers, or where the one
 * that it was offered to has no room, this host runs it itself.
 */
final class ForwardedRun {
  /** What a home gets beyond the statement's time, in milliseconds: its own answer comes first. */
  private static final long ANSWER_MARGIN_MILLIS = 250;

  private final Clock clock;
  private final StatementLog log;
  private final Homes homes;
  private final Overflow overflow;
  private final StatementRunner local;
  private final StatementRequest request;
  private final Optional<Transaction> transaction;
  private final ServiceRuntime service;
  private final DatabaseRoute route;
  private final long number;
  private final Optional<HomeLink> offeredTo;
  private final Consumer<SessionReply> done;
  private final long startedAt;
  private final Set<HostId> excluded = new HashSet<>();
  private int attempts;

  ForwardedRun(
      ForwardingRunner.Parts parts,
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      long number,
      Optional<HomeLink> offeredTo,
      Consumer<SessionReply> done) {
    this.clock = parts.clock();
    this.log = parts.log();
    this.homes = parts.homes();
    this.overflow = parts.overflow();
    this.offeredTo = offeredTo;
    this.local = parts.local();
    this.request = request;
    this.transaction = transaction;
    this.service = service;
    this.route = route;
    this.number = number;
    this.done = done;
    this.startedAt = request.arrivedAt();
  }

  void start() {
    Optional<HomeLink> home = pinned().map(HomePin::home).or(this::choose);
    if (home.isEmpty()) {
      service.serveAsHome(clock.millis());
      local.run(request, transaction, service, route, done);
      return;
    }
    send(home.get());
  }

  private Optional<HomeLink> choose() {
    return offeredTo.isPresent()
        ? offeredTo.filter(link -> attempts == 0)
        : homes.choose(service, excluded);
  }

  private Optional<HomePin> pinned() {
    return transaction.flatMap(Transaction::pin).map(HomePin.class::cast);
  }

  private void send(HomeLink home) {
    attempts++;
    long now = clock.millis();
    StatementCall.Builder call = StatementFrames.call(request, route, now - startedAt);
    call.setOnlyAtOnce(offeredTo.isPresent());
    long handle = pinned().map(HomePin::number).orElse(number);
    transaction.ifPresent(t -> call.setTransaction(StatementFrames.transaction(t, handle, now)));
    if (request.writes()) {
      transaction.ifPresent(Transaction::noteWrite);
    }
    home.call(call.build(), timeout(now), repeatable(), result -> answered(home, handle, result));
  }

  private long timeout(long now) {
    long left = startedAt + route.timeoutMillis() - now;
    return Math.max(left, route.timeoutMillis() / 2) + ANSWER_MARGIN_MILLIS;
  }

  private boolean repeatable() {
    return transaction.isEmpty() && !request.writes();
  }

  private void answered(HomeLink home, long handle, PeerResult result) {
    boolean replied = result instanceof PeerResult.Reply reply && reply.frame().hasStatementReply();
    Optional<StatementReply> accepted =
        replied
            ? Optional.of(((PeerResult.Reply) result).frame().getStatementReply())
                .filter(StatementReply::getAccepted)
            : Optional.empty();
    offeredTo.ifPresent(link -> overflow.ended(service, link, accepted.isPresent()));
    if (accepted.isPresent()) {
      accepted(home, handle, accepted.get());
      return;
    }
    excluded.add(home.host().id());
    if (offeredTo.isEmpty() || !replied) {
      log.forwardFailed(request, route, home.host().id(), attempts, result);
    }
    ForwardPolicy.Attempt attempt =
        new ForwardPolicy.Attempt(
            result instanceof PeerResult.NoReply,
            request.writes(),
            request.commits() && transaction.filter(Transaction::wrote).isPresent(),
            pinned().isPresent(),
            transaction.isPresent());
    transaction.ifPresent(Transaction::unpin);
    long deadlineAt = startedAt + route.timeoutMillis();
    ForwardPolicy.after(attempt, attempts, clock.millis(), deadlineAt)
        .ifPresentOrElse(
            giveUp -> finish(new SessionReply.Failure(giveUp.code(), giveUp.text())), this::start);
  }

  private void accepted(HomeLink home, long handle, StatementReply reply) {
    transaction.ifPresent(Transaction::unpin);
    if (reply.getTransactionOpen()) {
      transaction.ifPresent(t -> t.pin(new HomePin(home, handle)));
    }
    StatementFrames.position(reply.getPositionTerm(), reply.getPositionIndex())
        .ifPresent(request.session()::advance);
    finish(StatementFrames.reply(reply));
  }

  private void finish(SessionReply reply) {
    log.ended(request, route, attempts, startedAt, reply);
    done.accept(reply);
  }
}
