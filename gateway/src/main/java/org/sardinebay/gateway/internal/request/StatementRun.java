package org.sardinebay.gateway.internal.request;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.gateway.internal.connection.MemberAnswer;
import org.sardinebay.gateway.internal.connection.MemberLink;
import org.sardinebay.gateway.internal.connection.MemberPin;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.internal.request.AttemptOutcome;
import org.sardinebay.internal.request.FinalAnswers;
import org.sardinebay.internal.request.PlacementNeed;
import org.sardinebay.internal.request.RetryPolicy;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.MemberMessage;
import org.sardinebay.session.RouteKind;
import org.sardinebay.session.Statement;
import org.sardinebay.session.TransactionState;

/**
 * Runs one statement of a caller at a member: finds a place, brings the link to the session's
 * state, sends, and tries again elsewhere while that is safe. In a transaction the first statement
 * finds the place; the others run on the same link, and nothing is tried again elsewhere.
 */
public final class StatementRun implements Placeable {
  /** A read is tried elsewhere after this part of its time, so that one lost answer costs half. */
  private static final int READ_ATTEMPTS_IN_TIMEOUT = 2;

  /** The part of a statement's time that it may wait for a place, in per cent: under half. */
  private static final long WAITING_PERCENT = 48;

  private static final long PERCENT = 100;

  private final StatementRunContext context;
  private final StatementRequest request;
  private final Optional<Transaction> transaction;
  private final ServiceRuntime service;
  private final DatabaseRoute route;
  private final Consumer<SessionReply> done;
  private final long startedAt;
  private final Set<MemberId> excluded = new HashSet<>();
  private long placingSince;
  private int attempts;
  private boolean finished;

  /**
   * A run that has not started.
   *
   * @param context what all runs share
   * @param request the statement
   * @param transaction the transaction that it belongs to, if any
   * @param service the service
   * @param route the route
   * @param done takes the outcome; called once
   */
  public StatementRun(
      StatementRunContext context,
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      Consumer<SessionReply> done) {
    this.context = context;
    this.request = request;
    this.transaction = transaction;
    this.service = service;
    this.route = route;
    this.done = done;
    this.startedAt = request.arrivedAt();
  }

  /** Starts the run. */
  public void start() {
    Optional<MemberPin> pin = transaction.flatMap(Transaction::pin).map(MemberPin.class::cast);
    if (pin.isEmpty()) {
      place();
      return;
    }
    attempts++;
    MemberPin held = pin.get();
    PlacementNeed need = new PlacementNeed(held.asPrimary(), Optional.empty());
    prepare(new Attempt(held.pool(), held.link(), need, held.asPrimary(), held.term()));
  }

  private void place() {
    placingSince = context.clock().millis();
    service.place(this);
  }

  @Override
  public PlacementNeed need() {
    if (route.kind() == RouteKind.PRIMARY || !readsOnly()) {
      return PlacementNeed.PRIMARY;
    }
    long from = transaction.map(Transaction::startedAt).orElse(startedAt);
    Optional<Position> floor = service.view().floor(from, route.maxStalenessMillis());
    if (floor.isEmpty()) {
      return PlacementNeed.PRIMARY;
    }
    Optional<Position> own = request.session().position().flatMap(service.view()::inThisTerm);
    if (own.isEmpty() && request.session().position().isPresent()) {
      return PlacementNeed.PRIMARY;
    }
    return new PlacementNeed(false, Optional.of(own.map(floor.get()::max).orElse(floor.get())));
  }

  private boolean readsOnly() {
    return transaction.map(Transaction::readOnly).orElse(!request.writes());
  }

  @Override
  public Map<String, String> values() {
    return request.session().values();
  }

  @Override
  public Set<MemberId> excluded() {
    return excluded;
  }

  @Override
  public int priority() {
    return route.priority();
  }

  @Override
  public long giveUpAt() {
    return startedAt + route.timeoutMillis() * WAITING_PERCENT / PERCENT;
  }

  private long deadlineAt() {
    return startedAt + route.timeoutMillis();
  }

  @Override
  public void onNoPlace() {
    context
        .log()
        .placeNotFound(request, route, need(), service.placeFacts(context.clock().millis()));
    giveUp(FinalAnswers.noPlace());
  }

  @Override
  public void onLink(MemberPool pool, MemberLink link, PlacementNeed need, boolean asPrimary) {
    context.log().placed(context.clock().millis() - placingSince);
    attempts++;
    prepare(new Attempt(pool, link, need, asPrimary, service.view().term()));
  }

  private void prepare(Attempt attempt) {
    context
        .preparation()
        .run(
            attempt.link,
            request.session().values(),
            request.shape(),
            ready -> {
              if (ready) {
                begin(attempt);
              } else {
                failed(attempt, new AttemptOutcome.NotSent());
              }
            });
  }

  private void begin(Attempt attempt) {
    if (transaction.isEmpty() || transaction.get().pin().isPresent()) {
      send(attempt);
      return;
    }
    if (!trusted(attempt)) {
      failed(attempt, new AttemptOutcome.NotSent());
      return;
    }
    Statement begin = new Statement.Begin(transaction.get().readOnly());
    Optional<Position> after = attempt.asPrimary ? Optional.empty() : attempt.need.least();
    attempt.link.exchange(
        context
            .protocol()
            .query(transaction.get().beginId(), after, context.protocol().text(begin)),
        attemptTimeout(),
        answer -> begun(attempt, answer));
  }

  private void begun(Attempt attempt, MemberAnswer answer) {
    if (answer instanceof MemberAnswer.Whole whole && whole.failure().isEmpty()) {
      applied(attempt, whole);
      MemberPin pin = new MemberPin(attempt.link, attempt.pool, attempt.asPrimary, attempt.term);
      transaction.get().pin(pin);
      send(attempt);
      return;
    }
    failed(attempt, outcome(answer, new AttemptOutcome.NotSent()));
  }

  private void send(Attempt attempt) {
    if (!trusted(attempt)) {
      failed(attempt, new AttemptOutcome.NotSent());
      return;
    }
    if (request.writes()) {
      transaction.ifPresent(Transaction::noteWrite);
    }
    boolean plain = transaction.isEmpty() && !attempt.asPrimary;
    Optional<Position> after = plain ? attempt.need.least() : Optional.empty();
    attempt.link.exchange(
        context.protocol().query(request.id(), after, context.memberText(request)),
        attemptTimeout(),
        answer -> answered(attempt, answer));
  }

  private long attemptTimeout() {
    long whole = Math.max(1, deadlineAt() - context.clock().millis());
    boolean elsewhere = transaction.isEmpty() && !request.writes();
    return elsewhere
        ? Math.min(whole, route.timeoutMillis() / READ_ATTEMPTS_IN_TIMEOUT)
        : Math.max(whole, route.timeoutMillis() / READ_ATTEMPTS_IN_TIMEOUT);
  }

  /** Whether the member may be relied upon as the primary, if it has to be. */
  private boolean trusted(Attempt attempt) {
    long now = context.clock().millis();
    return !attempt.asPrimary
        || service.view().stillLeads(attempt.link.member(), attempt.term, now);
  }

  private void answered(Attempt attempt, MemberAnswer answer) {
    if (!(answer instanceof MemberAnswer.Whole whole) || whole.failure().isPresent()) {
      failed(attempt, outcome(answer, new AttemptOutcome.NoAnswer()));
      return;
    }
    context.log().answered(context.clock().millis() - whole.askedAt());
    applied(attempt, whole);
    boolean mustBeTrusted =
        !request.commits() || transaction.filter(Transaction::wrote).isPresent();
    if (mustBeTrusted && !trusted(attempt)) {
      failed(attempt, new AttemptOutcome.LeaseLost());
      return;
    }
    whole.ready().position().ifPresent(request.session()::advance);
    release(attempt);
    finish(new SessionReply.Success(whole.rows(), whole.signature().orElse("-")));
  }

  private void applied(Attempt attempt, MemberAnswer.Whole whole) {
    whole
        .ready()
        .position()
        .ifPresent(
            position ->
                service
                    .view()
                    .onApplied(
                        attempt.link.member(),
                        position,
                        whole.askedAt(),
                        context.clock().millis()));
  }

  private static AttemptOutcome outcome(MemberAnswer answer, AttemptOutcome whenLost) {
    if (answer instanceof MemberAnswer.Whole whole) {
      MemberMessage.Failed failure = whole.failure().orElseThrow();
      return new AttemptOutcome.Refused(failure.code(), failure.text());
    }
    return whenLost;
  }

  private void failed(Attempt attempt, AttemptOutcome outcome) {
    long now = context.clock().millis();
    context.log().attemptFailed(request, route, attempt.link.member(), attempts, outcome);
    if (transaction.flatMap(Transaction::pin).isPresent()) {
      failedInTransaction(attempt, outcome);
      return;
    }
    excluded.add(attempt.link.member());
    if (attempt.asPrimary || excluded.size() >= service.view().members().size()) {
      excluded.clear();
    }
    release(attempt);
    boolean sent = transaction.isEmpty() && request.writes();
    RetryPolicy.Step step = RetryPolicy.after(outcome, sent, attempts, now, deadlineAt());
    if (step instanceof RetryPolicy.Step.GiveUp giveUp) {
      giveUp(giveUp);
    } else if (outcome instanceof AttemptOutcome.Refused) {
      context.retryLater(this::place);
    } else {
      place();
    }
  }

  private void failedInTransaction(Attempt attempt, AttemptOutcome outcome) {
    boolean open = attempt.link.usable() && attempt.link.state() == TransactionState.OPEN;
    boolean commitsWrites = request.commits() && transaction.filter(Transaction::wrote).isPresent();
    long now = context.clock().millis();
    RetryPolicy.Step step =
        RetryPolicy.inTransaction(outcome, open, commitsWrites, attempts, now, deadlineAt());
    if (step instanceof RetryPolicy.Step.GiveUp giveUp) {
      giveUp(giveUp);
    } else {
      context.retryLater(this::start);
    }
  }

  private void release(Attempt attempt) {
    if (transaction.flatMap(Transaction::pin).isEmpty()) {
      attempt.pool.giveBack(attempt.link);
    }
  }

  private void giveUp(RetryPolicy.Step.GiveUp answer) {
    finish(new SessionReply.Failure(answer.code(), answer.text()));
  }

  private void finish(SessionReply reply) {
    if (finished) {
      throw new IllegalStateException("request " + request.id() + " ended twice");
    }
    finished = true;
    context.log().ended(request, route, attempts, startedAt, reply);
    done.accept(reply);
  }

  private record Attempt(
      MemberPool pool, MemberLink link, PlacementNeed need, boolean asPrimary, long term) {}
}
