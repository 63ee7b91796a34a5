package org.sardinebay.gateway.internal.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.Homes;
import org.sardinebay.gateway.internal.version.Overflow;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.internal.request.ForwardPolicy;
import org.sardinebay.internal.request.OverflowPolicy;
import org.sardinebay.net.peer.PeerResult;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.StatementReply;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.ErrorCode;

/**
 * Forwards one statement to a home of its service. This host runs the statement itself if no home
 * is usable, or if the home that the statement was offered to has no capacity.
 */
final class ForwardedRun {
  /**
   * Added to the statement's remaining time when waiting for a home, in milliseconds, so that the
   * home's own timeout answer arrives first.
   */
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
  private final long newTransactionNumber;
  private final Optional<HomeClient> offeredTo;
  private final Consumer<SessionReply> done;
  private final long startedAt;
  private final Set<HostId> excluded = new HashSet<>();
  private final Set<HostId> declined = new HashSet<>();
  private boolean mayDecline = true;
  private int attempts;

  ForwardedRun(
      ForwardingRunner.Context context,
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      long newTransactionNumber,
      Optional<HomeClient> offeredTo,
      Consumer<SessionReply> done) {
    this.clock = context.clock();
    this.log = context.log();
    this.homes = context.homes();
    this.overflow = context.overflow();
    this.offeredTo = offeredTo;
    this.local = context.local();
    this.request = request;
    this.transaction = transaction;
    this.service = service;
    this.route = route;
    this.newTransactionNumber = newTransactionNumber;
    this.done = done;
    this.startedAt = request.arrivedAt();
  }

  void start() {
    Optional<HomeClient> home = pinned().map(HomePin::home).or(this::choose);
    if (home.isEmpty()) {
      service.becomeTemporaryHome(clock.millis());
      local.run(request, transaction, service, route, done);
      return;
    }
    send(home.get());
  }

  private Optional<HomeClient> choose() {
    return offeredTo.isPresent()
        ? offeredTo.filter(client -> !excluded.contains(client.host().id()))
        : chooseHome().or(this::chooseAmongDeclined);
  }

  /** Returns the home where the statement waits for a primary, since no home has a usable one. */
  private Optional<HomeClient> chooseAmongDeclined() {
    excluded.removeAll(declined);
    mayDecline = false;
    return chooseHome();
  }

  private Optional<HomeClient> chooseHome() {
    long now = clock.millis();
    return request.workspace().isEmpty()
        ? homes.choose(service, excluded, now)
        : homes.chooseForWorkspace(
            service,
            request.workspace().get(),
            ForwardingRunner.needsPrimary(request, transaction, route),
            excluded,
            now);
  }

  private Optional<HomePin> pinned() {
    return transaction.flatMap(Transaction::pin).map(HomePin.class::cast);
  }

  private void send(HomeClient home) {
    attempts++;
    long now = clock.millis();
    StatementCall.Builder call = StatementCodec.call(request, route, now - startedAt);
    boolean offeredAtOnce = offeredTo.isPresent() && !mayWaitThere(now);
    call.setOnlyAtOnce(offeredAtOnce);
    call.setDeclineWithoutPrimary(
        mayDecline
            && !offeredAtOnce
            && pinned().isEmpty()
            && !homes.reportedWithoutPrimary(service, home.host().id(), now));
    long transactionNumber = pinned().map(HomePin::number).orElse(newTransactionNumber);
    transaction.ifPresent(
        t -> call.setTransaction(StatementCodec.transaction(t, transactionNumber, now)));
    if (request.writes()) {
      transaction.ifPresent(Transaction::markWritten);
    }
    home.call(
        call.build(),
        timeoutMillis(now),
        retryable(),
        result -> onResult(home, transactionNumber, result));
  }

  private boolean mayWaitThere(long now) {
    return OverflowPolicy.mayWaitThere(
        ForwardingRunner.needsPrimary(request, transaction, route),
        service.view().millisWithoutPrimary(now));
  }

  private long timeoutMillis(long now) {
    long remainingMillis = startedAt + route.timeoutMillis() - now;
    return Math.max(remainingMillis, route.timeoutMillis() / 2) + ANSWER_MARGIN_MILLIS;
  }

  private boolean retryable() {
    return transaction.isEmpty() && !request.writes();
  }

  private void onResult(HomeClient home, long transactionNumber, PeerResult result) {
    boolean replied = result instanceof PeerResult.Reply reply && reply.frame().hasStatementReply();
    Optional<StatementReply> accepted =
        replied
            ? Optional.of(((PeerResult.Reply) result).frame().getStatementReply())
                .filter(StatementReply::getAccepted)
            : Optional.empty();
    offeredTo.ifPresent(client -> overflow.onOfferEnded(service, client, accepted.isPresent()));
    if (accepted.isPresent()) {
      onAccepted(home, transactionNumber, accepted.get());
      return;
    }
    excluded.add(home.host().id());
    if (replied && withoutPrimary(result)) {
      onDeclined(home.host().id());
      return;
    }
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

  private static boolean withoutPrimary(PeerResult result) {
    return ((PeerResult.Reply) result).frame().getStatementReply().getWithoutPrimary();
  }

  /** Tries the next home. A decline costs a round trip and doesn't count as an attempt. */
  private void onDeclined(HostId home) {
    attempts--;
    declined.add(home);
    homes.onDeclinedWithoutPrimary(service, home, clock.millis());
    start();
  }

  private void onAccepted(HomeClient home, long transactionNumber, StatementReply reply) {
    transaction.ifPresent(Transaction::unpin);
    if (reply.getTransactionOpen()) {
      transaction.ifPresent(t -> t.pin(new HomePin(home, transactionNumber)));
    }
    StatementCodec.position(reply.getPositionTerm(), reply.getPositionIndex())
        .ifPresent(request.session()::advance);
    finish(settle(StatementCodec.reply(reply)));
  }

  /**
   * Replaces what proves nothing: a success without a member's signature, as hosts of older
   * versions may send it, and a failure of a write that this version doesn't know. A write that was
   * sent may have had an effect.
   */
  private SessionReply settle(SessionReply reply) {
    boolean mayHaveEffect =
        transaction.isEmpty() ? request.writes() : request.commits() && transaction.get().wrote();
    if (reply instanceof SessionReply.Success success && !success.signed()) {
      ErrorCode withoutEffect = transaction.isEmpty() ? ErrorCode.FAILED : ErrorCode.ABORTED;
      return new SessionReply.Failure(
          mayHaveEffect ? ErrorCode.IN_DOUBT : withoutEffect, "the answer has no signature");
    }
    return mayHaveEffect
            && reply instanceof SessionReply.Failure failure
            && failure.code() == ErrorCode.UNKNOWN
        ? new SessionReply.Failure(ErrorCode.IN_DOUBT, "sent; the answer can't be read")
        : reply;
  }

  private void finish(SessionReply reply) {
    log.statementEnded(request, route, attempts, startedAt, reply);
    done.accept(reply);
  }
}
