package org.sardinebay.gateway.internal.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.session.DatabaseRoute;

/** Runs statements on members that this host is connected to. */
public final class LocalRunner implements StatementRunner {
  private final StatementRunContext context;

  /**
   * Creates a runner.
   *
   * @param context the collaborators shared by all statements
   */
  public LocalRunner(StatementRunContext context) {
    this.context = context;
  }

  @Override
  public void run(
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      Consumer<SessionReply> done) {
    new StatementRun(context, request, transaction, service, route, done).start();
  }
}
