package org.sardinebay.gateway.internal.request;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinebay.MemberId;
import org.sardinebay.Position;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.LossCause;
import org.sardinebay.gateway.internal.connection.MemberAnswer;
import org.sardinebay.gateway.internal.connection.MemberConnection;
import org.sardinebay.gateway.internal.connection.MemberPin;
import org.sardinebay.gateway.internal.connection.MemberPool;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.internal.connection.AnswerKind;
import org.sardinebay.internal.request.AttemptOutcome;
import org.sardinebay.internal.request.FinalAnswers;
import org.sardinebay.internal.request.PlacementRequirement;
import org.sardinebay.internal.request.RetryAfter;
import org.sardinebay.internal.request.RetryPolicy;
import org.sardinebay.internal.request.StatementDemand;
import org.sardinebay.internal.request.StatementDurations;
import org.sardinebay.internal.request.WaitEstimate;
import org.sardinebay.internal.version.StatementClass;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.MemberMessage;
import org.sardinebay.session.RouteKind;
import org.sardinebay.session.Statement;
import org.sardinebay.session.TransactionState;

/**
 * Runs one statement of a caller on a member: acquires a connection, applies the session's state to
 * it, sends the statement, and retries on another member while that is safe. In a transaction, the
 * first statement acquires the connection; later statements run on the same connection and are not
 * retried on another member.
 */
public final class StatementRun implements PlacementRequest {
  /**
   * A read is retried on another member after its timeout divided by this, so that one lost answer
   * costs half of the timeout.
   */
  private static final int READ_ATTEMPTS_IN_TIMEOUT = 2;

  private final StatementRunContext context;
  private final StatementRequest request;
  private final Optional<Transaction> transaction;
  private final ServiceRuntime service;
  private final DatabaseRoute route;
  private final Consumer<SessionReply> done;
  private final long startedAt;
  private final Set<MemberId> excluded = new HashSet<>();
  private long placingSince;
  private OptionalLong expectedWaitMillis = OptionalLong.empty();
  private int attempts;

  /** The attempts whose statement was sent and not answered; more than one if a read is hedged. */
  private int unanswered;

  /**
   * Whether a member answered with an error that may be the one to an earlier request. An attempt
   * that seemed to fail may then have succeeded, so later errors prove nothing either.
   */
  private boolean unproven;

  private boolean finished;

  /**
   * Creates a run that has not started.
   *
   * @param context the collaborators shared by all statements
   * @param request the statement
   * @param transaction the transaction that it belongs to, if any
   * @param service the service
   * @param route the route
   * @param done receives the result; called once
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
    MemberPin held = pin.get();
    if (!held.connection().workspace().equals(workspace())) {
      giveUp(FinalAnswers.workspaceChanged());
      return;
    }
    attempts++;
    PlacementRequirement requirement = new PlacementRequirement(held.asPrimary(), Optional.empty());
    prepare(
        new Attempt(held.pool(), held.connection(), requirement, held.asPrimary(), held.term()));
  }

  private void place() {
    if (finished) {
      // The other attempt of a hedged read was answered before this one was retried.
      return;
    }
    placingSince = context.clock().millis();
    expectedWaitMillis = OptionalLong.empty();
    service.place(this);
  }

  @Override
  public boolean primaryOnly() {
    return route.kind() == RouteKind.PRIMARY || !readsOnly();
  }

  @Override
  public PlacementRequirement requirement() {
    if (primaryOnly()) {
      return PlacementRequirement.PRIMARY;
    }
    long readStartedAt = transaction.map(Transaction::startedAt).orElse(startedAt);
    Optional<Position> minimumPosition =
        service.view().minimumPosition(readStartedAt, route.maxStalenessMillis());
    if (minimumPosition.isEmpty()) {
      return PlacementRequirement.PRIMARY;
    }
    Optional<Position> sessionPosition =
        request.session().position().flatMap(service.view()::mapToCurrentTerm);
    if (sessionPosition.isEmpty() && request.session().position().isPresent()) {
      return PlacementRequirement.PRIMARY;
    }
    return new PlacementRequirement(
        false,
        Optional.of(sessionPosition.map(minimumPosition.get()::max).orElse(minimumPosition.get())));
  }

  private boolean readsOnly() {
    return transaction.map(Transaction::readOnly).orElse(!request.writes());
  }

  @Override
  public Map<String, String> values() {
    return request.session().values();
  }

  @Override
  public StatementClass statementClass() {
    return new StatementClass(route.kind(), !readsOnly());
  }

  @Override
  public Optional<WorkspaceId> workspace() {
    return request.workspace();
  }

  @Override
  public Set<MemberId> excluded() {
    return excluded;
  }

  @Override
  public StatementDurations.Kind kind() {
    return new StatementDurations.Kind(route.database(), request.writes());
  }

  @Override
  public StatementDemand demand(double workMillis) {
    return StatementDemand.of(request.workspace(), route, workMillis, primaryOnly(), startedAt);
  }

  @Override
  public void onWaiting(OptionalLong expectedMillis) {
    expectedWaitMillis = expectedMillis;
  }

  @Override
  public void onRejected(WaitEstimate.Expected<PlacementRequest> expected, boolean onArrival) {
    if (finished) {
      return;
    }
    long retryMillis = RetryAfter.millis(expected.drainMillis(), route.priority(), request.id());
    context.log().rejected(request, route, expected, retryMillis, onArrival);
    // A read may have run for another home whose answer was lost; a write is not forwarded again.
    boolean neverSent = attempts == 0 && request.writes();
    giveUp(FinalAnswers.rejected(neverSent, retryMillis));
  }

  private long deadlineAt() {
    return startedAt + route.timeoutMillis();
  }

  @Override
  public void onNotPlaced() {
    if (finished) {
      return;
    }
    context.log().recordEstimate(context.clock().millis() - placingSince, expectedWaitMillis);
    context
        .log()
        .placementFailed(
            request, route, requirement(), service.placementSnapshot(context.clock().millis()));
    giveUp(FinalAnswers.noFreeConnection());
  }

  @Override
  public void onConnection(
      MemberPool pool,
      MemberConnection connection,
      PlacementRequirement requirement,
      boolean asPrimary) {
    context.log().recordPlaced(context.clock().millis() - placingSince, expectedWaitMillis);
    attempts++;
    prepare(new Attempt(pool, connection, requirement, asPrimary, service.view().term()));
  }

  private void prepare(Attempt attempt) {
    context
        .preparation()
        .run(
            attempt.connection,
            request.session().values(),
            request.shape(),
            ready -> {
              if (ready) {
                begin(attempt);
              } else {
                onAttemptFailed(attempt, new AttemptOutcome.NotSent());
              }
            });
  }

  private void begin(Attempt attempt) {
    if (transaction.isEmpty() || transaction.get().pin().isPresent()) {
      send(attempt);
      return;
    }
    if (!primaryLeaseValid(attempt)) {
      onAttemptFailed(attempt, new AttemptOutcome.NotSent());
      return;
    }
    Statement begin = new Statement.Begin(transaction.get().readOnly());
    Optional<Position> after =
        attempt.asPrimary ? Optional.empty() : attempt.requirement.minimumPosition();
    attempt.connection.exchange(
        context
            .protocol()
            .query(transaction.get().beginId(), after, context.protocol().text(begin)),
        AnswerKind.TRANSACTION_START,
        attemptTimeoutMillis(),
        answer -> onBeginAnswer(attempt, answer));
  }

  private void onBeginAnswer(Attempt attempt, MemberAnswer answer) {
    service.evidence().onPossibleLag(attempt.connection.member(), answer);
    if (answer instanceof MemberAnswer.Complete complete && complete.failure().isEmpty()) {
      service.evidence().onApplied(attempt.connection.member(), complete);
      MemberPin pin =
          new MemberPin(attempt.connection, attempt.pool, attempt.asPrimary, attempt.term);
      transaction.get().pin(pin);
      service.placer().transactions().add(transaction.get(), pin);
      send(attempt);
      return;
    }
    onAttemptFailed(
        attempt,
        answer instanceof MemberAnswer.Complete complete && complete.proven()
            ? outcome(answer, new AttemptOutcome.NotSent())
            : new AttemptOutcome.NotSent());
  }

  private void send(Attempt attempt) {
    if (finished) {
      // The other attempt of a hedged read was answered while this connection was prepared.
      release(attempt);
      return;
    }
    if (!primaryLeaseValid(attempt)) {
      onAttemptFailed(attempt, new AttemptOutcome.NotSent());
      return;
    }
    if (request.writes()) {
      transaction.ifPresent(Transaction::markWritten);
    }
    boolean replicaRead = transaction.isEmpty() && !attempt.asPrimary;
    Optional<Position> after =
        replicaRead ? attempt.requirement.minimumPosition() : Optional.empty();
    unanswered++;
    attempt.connection.exchange(
        context.protocol().query(request.id(), after, context.memberText(request)),
        answerKind(),
        attemptTimeoutMillis(),
        answer -> onAnswer(attempt, answer));
    if (replicaRead && !request.writes() && unanswered == 1) {
      hedgeWhenOverdue(attempt);
    }
  }

  private AnswerKind answerKind() {
    if (request.commits()) {
      return AnswerKind.COMMIT;
    }
    return request.writes() ? AnswerKind.WRITE : AnswerKind.READ;
  }

  private void hedgeWhenOverdue(Attempt attempt) {
    MemberId member = attempt.connection.member();
    long delayMillis = service.evidence().hedgeDelayMillis(member, statementClass());
    context.hedging().onRead();
    context.loop().delay(delayMillis, () -> hedge(member, delayMillis));
  }

  private void hedge(MemberId overdue, long delayMillis) {
    if (finished || unanswered != 1 || !excluded.add(overdue)) {
      return;
    }
    if (context.hedging().permits() && service.placeOnIdle(this)) {
      context.log().readSentAgain(request, overdue, delayMillis);
    } else {
      excluded.remove(overdue);
    }
  }

  /**
   * Returns the timeout of one attempt. A statement that can't be retried gets at least half of its
   * timeout, even if the attempt then ends after its deadline.
   */
  private long attemptTimeoutMillis() {
    long remaining = Math.max(1, deadlineAt() - context.clock().millis());
    boolean retryable = transaction.isEmpty() && !request.writes();
    return retryable
        ? Math.min(remaining, route.timeoutMillis() / READ_ATTEMPTS_IN_TIMEOUT)
        : Math.max(remaining, route.timeoutMillis() / READ_ATTEMPTS_IN_TIMEOUT);
  }

  /**
   * Whether the member still holds the primary's lease; true if the member was not chosen as the
   * primary.
   */
  private boolean primaryLeaseValid(Attempt attempt) {
    long now = context.clock().millis();
    return !attempt.asPrimary
        || service.view().holdsPrimaryLease(attempt.connection.member(), attempt.term, now);
  }

  private void onAnswer(Attempt attempt, MemberAnswer answer) {
    unanswered--;
    service.evidence().onPossibleLag(attempt.connection.member(), answer);
    if (finished) {
      release(attempt);
      return;
    }
    if (!(answer instanceof MemberAnswer.Complete complete) || complete.failure().isPresent()) {
      onAttemptFailed(attempt, outcome(answer, new AttemptOutcome.NoAnswer()));
      return;
    }
    long durationMillis = context.clock().millis() - complete.sentAt();
    context.log().recordMemberDuration(durationMillis);
    service.evidence().onAnswered(attempt.connection.member(), statementClass(), complete);
    service.placer().durations().observed(kind(), durationMillis);
    boolean needsLease = !request.commits() || transaction.filter(Transaction::wrote).isPresent();
    if (needsLease && !primaryLeaseValid(attempt)) {
      onAttemptFailed(attempt, new AttemptOutcome.LeaseLost());
      return;
    }
    complete.ready().position().ifPresent(request.session()::advance);
    release(attempt);
    finish(new SessionReply.Success(complete.rows(), complete.signature().orElseThrow()));
  }

  private AttemptOutcome outcome(MemberAnswer answer, AttemptOutcome whenLost) {
    if (answer instanceof MemberAnswer.Lost lost) {
      return lost.cause() == LossCause.UNPROVEN && whenLost instanceof AttemptOutcome.NoAnswer
          ? new AttemptOutcome.Unproven(Optional.empty())
          : whenLost;
    }
    MemberAnswer.Complete complete = (MemberAnswer.Complete) answer;
    MemberMessage.Failed failure = complete.failure().orElseThrow();
    unproven |= !complete.proven();
    boolean withoutEffect = transaction.isEmpty() && !request.writes();
    return unproven && !withoutEffect
        ? new AttemptOutcome.Unproven(Optional.of(failure.code()))
        : new AttemptOutcome.Refused(failure.code(), failure.text());
  }

  private void onAttemptFailed(Attempt attempt, AttemptOutcome outcome) {
    if (finished) {
      release(attempt);
      return;
    }
    long now = context.clock().millis();
    context.log().attemptFailed(request, route, attempt.connection.member(), attempts, outcome);
    if (outcome.countsAgainstMember()) {
      service.evidence().onFailed(attempt.connection.member());
    }
    if (transaction.flatMap(Transaction::pin).isPresent()) {
      onTransactionAttemptFailed(attempt, outcome);
      return;
    }
    excluded.add(attempt.connection.member());
    if (unanswered > 0) {
      release(attempt);
      return;
    }
    if (attempt.asPrimary || excluded.size() >= service.view().members().size()) {
      excluded.clear();
    }
    release(attempt);
    boolean writesOutsideTransaction = transaction.isEmpty() && request.writes();
    RetryPolicy.Step step =
        RetryPolicy.after(outcome, writesOutsideTransaction, attempts, now, deadlineAt());
    if (step instanceof RetryPolicy.Step.GiveUp giveUp) {
      giveUp(giveUp);
    } else if (outcome instanceof AttemptOutcome.Refused) {
      context.retryLater(this::place);
    } else {
      place();
    }
  }

  private void onTransactionAttemptFailed(Attempt attempt, AttemptOutcome outcome) {
    boolean open =
        attempt.connection.usable() && attempt.connection.state() == TransactionState.OPEN;
    RetryPolicy.Step step =
        RetryPolicy.inTransaction(
            outcome,
            open,
            request.commits(),
            transaction.filter(Transaction::wrote).isPresent(),
            attempts,
            context.clock().millis(),
            deadlineAt());
    if (step instanceof RetryPolicy.Step.GiveUp giveUp) {
      giveUp(giveUp);
    } else {
      context.retryLater(this::start);
    }
  }

  private void release(Attempt attempt) {
    if (transaction.flatMap(Transaction::pin).isEmpty()) {
      attempt.pool.release(attempt.connection);
    }
  }

  private void giveUp(RetryPolicy.Step.GiveUp step) {
    finish(new SessionReply.Failure(step.code(), step.text()));
  }

  private void finish(SessionReply reply) {
    if (finished) {
      throw new IllegalStateException("request " + request.id() + " ended twice");
    }
    finished = true;
    context.log().statementEnded(request, route, attempts, startedAt, reply);
    done.accept(reply);
  }

  private record Attempt(
      MemberPool pool,
      MemberConnection connection,
      PlacementRequirement requirement,
      boolean asPrimary,
      long term) {}
}
