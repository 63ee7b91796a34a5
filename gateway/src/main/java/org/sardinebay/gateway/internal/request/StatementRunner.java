package org.sardinebay.gateway.internal.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.session.DatabaseRoute;

/** Runs callers' statements on members, directly or through another host. */
@FunctionalInterface
public interface StatementRunner {
  /**
   * Runs one statement.
   *
   * @param request the statement
   * @param transaction the transaction that it belongs to, if any
   * @param service the service
   * @param route the route
   * @param done receives the result; called once
   */
  void run(
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      Consumer<SessionReply> done);

  /**
   * A transaction began. Its first statement follows soon; what that needs may be prepared.
   *
   * @param workspace the workspace of the caller, empty if it has none
   */
  default void onTransactionBegun(Optional<WorkspaceId> workspace) {}
}
