package org.sardinebay.gateway.internal.request;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Position;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.net.peer.generated.PreparedStatement;
import org.sardinebay.net.peer.generated.SessionValue;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.StatementReply;
import org.sardinebay.net.peer.generated.StatementRoute;
import org.sardinebay.net.peer.generated.TransactionCall;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.RouteKind;
import org.sardinebay.session.Statement;

/** Converts statements and replies to and from the peer messages exchanged with a home. */
final class StatementCodec {
  private StatementCodec() {}

  static StatementCall.Builder call(
      StatementRequest request, DatabaseRoute route, long elapsedMillis) {
    StatementCall.Builder call =
        StatementCall.newBuilder()
            .setRoute(route(route))
            .setRequestId(request.id())
            .setText(request.text())
            .setWrites(request.writes())
            .setCommits(request.commits())
            .setElapsedMillis(elapsedMillis);
    request.session().values().forEach((name, value) -> call.addValues(value(name, value)));
    request.shape().ifPresent(shape -> call.setPrepared(prepared(shape)));
    request.workspace().ifPresent(workspace -> call.setWorkspace(workspace.value()));
    request
        .session()
        .position()
        .ifPresent(at -> call.setPositionTerm(at.term()).setPositionIndex(at.index()));
    return call;
  }

  private static SessionValue value(String name, String value) {
    return SessionValue.newBuilder().setName(name).setValue(value).build();
  }

  /** Returns the session's values in the order in which the caller's host sent them. */
  static Map<String, String> values(StatementCall call) {
    Map<String, String> values = new LinkedHashMap<>();
    call.getValuesList().forEach(value -> values.put(value.getName(), value.getValue()));
    return values;
  }

  private static StatementRoute route(DatabaseRoute route) {
    return StatementRoute.newBuilder()
        .setDatabase(route.database())
        .setService(route.service())
        .setKind(route.kind().name())
        .setMaxStalenessMillis(route.maxStalenessMillis())
        .setTimeoutMillis(route.timeoutMillis())
        .setTargetMillis(route.targetMillis())
        .setPriority(route.priority())
        .build();
  }

  private static PreparedStatement prepared(PreparedShape shape) {
    return PreparedStatement.newBuilder()
        .setWrites(shape.access() == Statement.Access.WRITE)
        .setShape(shape.shape())
        .build();
  }

  static TransactionCall transaction(Transaction transaction, long number, long now) {
    return TransactionCall.newBuilder()
        .setNumber(number)
        .setFirst(transaction.pin().isEmpty())
        .setBeginId(transaction.beginId())
        .setReadOnly(transaction.readOnly())
        .setElapsedMillis(Math.max(0, now - transaction.startedAt()))
        .build();
  }

  /**
   * Decodes a route; empty if this version doesn't know its kind. The caller's own host has checked
   * its key, so the route is open here.
   */
  static Optional<DatabaseRoute> route(StatementRoute route) {
    return named(RouteKind.values(), route.getKind())
        .map(
            kind ->
                new DatabaseRoute(
                    route.getDatabase(),
                    route.getService(),
                    kind,
                    route.getMaxStalenessMillis(),
                    route.getTimeoutMillis(),
                    route.getTargetMillis(),
                    route.getPriority(),
                    true));
  }

  /** Hosts may run different versions, so a name may be unknown here. */
  private static <E extends Enum<E>> Optional<E> named(E[] values, String name) {
    return Arrays.stream(values).filter(value -> value.name().equals(name)).findFirst();
  }

  static StatementRequest request(
      StatementCall call, StatementRequest.SessionState session, long arrivedAt) {
    Optional<PreparedShape> shape =
        call.hasPrepared() ? Optional.of(shape(call.getPrepared())) : Optional.empty();
    return new StatementRequest(
        call.getRequestId(),
        call.getText(),
        call.getWrites(),
        call.getCommits(),
        shape,
        workspace(call),
        session,
        arrivedAt);
  }

  /** Returns the workspace of a forwarded statement, empty if it has none. */
  static Optional<WorkspaceId> workspace(StatementCall call) {
    return call.getWorkspace().isEmpty()
        ? Optional.empty()
        : Optional.of(new WorkspaceId(call.getWorkspace()));
  }

  private static PreparedShape shape(PreparedStatement prepared) {
    return new PreparedShape(
        prepared.getWrites() ? Statement.Access.WRITE : Statement.Access.READ, prepared.getShape());
  }

  static Optional<Position> position(long term, long index) {
    return term == 0 ? Optional.empty() : Optional.of(new Position(term, index));
  }

  static StatementReply.Builder reply(SessionReply reply) {
    StatementReply.Builder message = StatementReply.newBuilder().setAccepted(true);
    if (reply instanceof SessionReply.Failure failure) {
      return message.setCode(failure.code().name()).setMessage(failure.text());
    }
    SessionReply.Success success = (SessionReply.Success) reply;
    return message.setSuccess(true).addAllRows(success.rows()).setSignature(success.signature());
  }

  static SessionReply reply(StatementReply message) {
    return message.getSuccess()
        ? new SessionReply.Success(message.getRowsList(), message.getSignature())
        : new SessionReply.Failure(
            named(ErrorCode.values(), message.getCode()).orElse(ErrorCode.UNKNOWN),
            message.getMessage());
  }
}
