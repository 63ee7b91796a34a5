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
  /**
   * The maximum size of all values and prepared statements, in characters: as much as the longest
   * line. Otherwise a caller that sends SET without end fills the memory.
   */
  static final int MAX_SIZE = 1 << 20;

  /**
   * Counted for each entry in addition to its characters, so that short entries are bounded too.
   */
  private static final int ENTRY_OVERHEAD = 64;

  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private Optional<Position> position = Optional.empty();
  private int size;

  /** Sets a value; returns false if the state would exceed {@link #MAX_SIZE}. */
  boolean set(Statement.SetValue set) {
    int before = valueSize(set.name());
    if (!resize(before, size(set.name(), set.value()))) {
      return false;
    }
    values.put(set.name(), set.value());
    return true;
  }

  /** Adds a prepared statement; returns false if the state would exceed {@link #MAX_SIZE}. */
  boolean prepare(Statement.Prepare prepare) {
    int before = preparedSize(prepare.name());
    if (!resize(before, size(prepare.name(), prepare.shape().shape()))) {
      return false;
    }
    prepared.put(prepare.name(), prepare.shape());
    return true;
  }

  void deallocate(Statement.Deallocate deallocate) {
    size -= preparedSize(deallocate.name());
    prepared.remove(deallocate.name());
  }

  private int valueSize(String name) {
    return Optional.ofNullable(values.get(name)).map(value -> size(name, value)).orElse(0);
  }

  private int preparedSize(String name) {
    return Optional.ofNullable(prepared.get(name)).map(s -> size(name, s.shape())).orElse(0);
  }

  private boolean resize(int before, int after) {
    if (size - before + after > MAX_SIZE) {
      return false;
    }
    size += after - before;
    return true;
  }

  private static int size(String name, String content) {
    return name.length() + content.length() + ENTRY_OVERHEAD;
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
