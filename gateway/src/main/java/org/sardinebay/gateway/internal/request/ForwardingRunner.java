package org.sardinebay.gateway.internal.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.Homes;
import org.sardinebay.gateway.internal.version.Overflow;
import org.sardinebay.gateway.internal.version.QuotaOutcome;
import org.sardinebay.gateway.internal.version.Quotas;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.internal.request.AdmissionControl;
import org.sardinebay.internal.request.FinalAnswers;
import org.sardinebay.internal.request.RetryPolicy;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.RouteKind;

/**
 * Runs a statement on this host if it is a home of the service, and forwards it to a home
 * otherwise. A statement that would have to wait here is first offered to another home. A
 * transaction stays on the host that ran its first statement.
 *
 * <pre>{@code
 * StatementRunner runner = new ForwardingRunner(context);
 * }</pre>
 */
public final class ForwardingRunner implements StatementRunner {
  private final Context context;
  private long lastTransactionNumber;

  /**
   * The collaborators shared by all statements.
   *
   * @param clock the clock
   * @param log logs and counts the outcomes of statements
   * @param homes knows the homes of each service
   * @param overflow chooses hosts for statements that would have to wait here
   * @param admission decides whether this host takes on another statement
   * @param quotas enforces the quotas of workspaces
   * @param local runs statements on this host's connections to members
   */
  public record Context(
      Clock clock,
      StatementLog log,
      Homes homes,
      Overflow overflow,
      AdmissionControl admission,
      Quotas quotas,
      StatementRunner local) {}

  /**
   * Creates a runner.
   *
   * @param context the collaborators shared by all statements
   */
  public ForwardingRunner(Context context) {
    this.context = context;
  }

  @Override
  public void run(
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      Consumer<SessionReply> done) {
    Optional<Transaction.Pin> pin = transaction.flatMap(Transaction::pin);
    if (pin.isEmpty() && !context.admission().admits()) {
      long retryAfter = context.admission().retryAfterMillis(request.id());
      refuse(FinalAnswers.hostOverloaded(retryAfter), request, route, done);
      return;
    }
    Optional<WorkspaceId> toCount = request.workspace().filter(id -> startsOperation(transaction));
    if (toCount.isEmpty()) {
      start(request, transaction, service, route, done);
      return;
    }
    context
        .quotas()
        .acquire(
            toCount.get(),
            request.id(),
            outcome -> {
              if (outcome instanceof QuotaOutcome.Refused refused) {
                refuse(FinalAnswers.quotaUsedUp(refused.retryAfterMillis()), request, route, done);
              } else {
                transaction.ifPresent(Transaction::markCounted);
                start(
                    request,
                    transaction,
                    service,
                    route,
                    reply -> {
                      if (notRun(reply)) {
                        context.quotas().giveBack(toCount.get());
                      }
                      done.accept(reply);
                    });
              }
            });
  }

  /** Whether the operation has not run; a read that was tried elsewhere may have. */
  private static boolean notRun(SessionReply reply) {
    return reply instanceof SessionReply.Failure failure && failure.code() == ErrorCode.BUSY;
  }

  @Override
  public void onTransactionBegun(Optional<WorkspaceId> workspace) {
    workspace.ifPresent(context.quotas()::onTransactionBegun);
  }

  /** An operation is a single statement or a whole transaction. */
  private static boolean startsOperation(Optional<Transaction> transaction) {
    return transaction.map(t -> t.pin().isEmpty() && !t.counted()).orElse(true);
  }

  private void refuse(
      RetryPolicy.Step.GiveUp refusal,
      StatementRequest request,
      DatabaseRoute route,
      Consumer<SessionReply> done) {
    SessionReply reply = new SessionReply.Failure(refusal.code(), refusal.text());
    context.log().statementEnded(request, route, 0, request.arrivedAt(), reply);
    done.accept(reply);
  }

  private void start(
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      Consumer<SessionReply> done) {
    Optional<Transaction.Pin> pin = transaction.flatMap(Transaction::pin);
    boolean runsHere =
        pin.isPresent()
            ? !(pin.get() instanceof HomePin)
            : service.home() && !runsNearPrimary(request, transaction, service, route);
    if (!runsHere) {
      forward(request, transaction, service, route, Optional.empty(), done);
      return;
    }
    Optional<HomeClient> overflowHome =
        pin.isPresent()
            ? Optional.empty()
            : context.overflow().offer(service, needsPrimary(request, transaction, route));
    if (overflowHome.isPresent()) {
      forward(request, transaction, service, route, overflowHome, done);
    } else {
      context.local().run(request, transaction, service, route, done);
    }
  }

  /** Whether the statement should use the connections of a home near the primary. */
  private boolean runsNearPrimary(
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route) {
    return request.workspace().isPresent()
        && needsPrimary(request, transaction, route)
        && context.homes().otherHomeNearPrimary(service);
  }

  private void forward(
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      Optional<HomeClient> offeredTo,
      Consumer<SessionReply> done) {
    new ForwardedRun(
            context, request, transaction, service, route, ++lastTransactionNumber, offeredTo, done)
        .start();
  }

  static boolean needsPrimary(
      StatementRequest request, Optional<Transaction> transaction, DatabaseRoute route) {
    boolean readsOnly = transaction.map(Transaction::readOnly).orElse(!request.writes());
    return route.kind() == RouteKind.PRIMARY || !readsOnly;
  }
}
