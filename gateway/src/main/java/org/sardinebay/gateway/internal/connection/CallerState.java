package org.sardinebay.gateway.internal.connection;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.Position;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.request.StatementRequest;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.Statement;

/** The values, prepared statements and position of a caller's session. */
final class CallerState implements StatementRequest.SessionState {
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private Optional<Position> position = Optional.empty();

  void set(Statement.SetValue set) {
    values.put(set.name(), set.value());
  }

  void prepare(Statement.Prepare prepare) {
    prepared.put(prepare.name(), prepare.shape());
  }

  void deallocate(Statement.Deallocate deallocate) {
    prepared.remove(deallocate.name());
  }

  /**
   * Creates the request of a statement that has to run on a member.
   *
   * @param id the request id given by the caller
   * @param statement the statement
   * @param protocol the members' protocol
   * @param workspace the workspace of the caller, if it has one
   * @param now the current time by this host's clock, in milliseconds
   * @return the request, empty if the statement executes a name that is not prepared
   */
  Optional<StatementRequest> request(
      String id,
      Statement statement,
      MemberProtocol protocol,
      Optional<WorkspaceId> workspace,
      long now) {
    if (statement instanceof Statement.Execute execute) {
      return Optional.ofNullable(prepared.get(execute.name()))
          .map(
              shape ->
                  new StatementRequest(
                      id,
                      execute.arguments(),
                      shape.access() == Statement.Access.WRITE,
                      false,
                      Optional.of(shape),
                      workspace,
                      this,
                      now));
    }
    return Optional.of(
        new StatementRequest(
            id,
            protocol.text(statement),
            statement instanceof Statement.Write,
            statement instanceof Statement.Commit,
            Optional.empty(),
            workspace,
            this,
            now));
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
