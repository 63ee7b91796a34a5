package org.sardinebay.gateway.internal.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.internal.connection.AnswerKind;
import org.sardinebay.internal.connection.SessionSync;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.PreparedShape;
import org.sardinebay.session.Statement;

/**
 * Applies a session's values, and the prepared statement that is about to run, to a member
 * connection. Each step is one exchange with the member.
 *
 * <pre>{@code
 * preparation.run(connection, session.values(), shape, ok -> ...);
 * }</pre>
 */
public final class ConnectionPreparation {
  /** Timeout of one step, in milliseconds: a round trip between regions and two retransmissions. */
  private static final long STEP_TIMEOUT_MILLIS = 500;

  private final MemberProtocol protocol;
  private final PreparedNames names;

  /**
   * Creates a preparation.
   *
   * @param protocol the members' protocol
   * @param names the names of prepared statements
   */
  public ConnectionPreparation(MemberProtocol protocol, PreparedNames names) {
    this.protocol = protocol;
    this.names = names;
  }

  /**
   * Prepares a connection.
   *
   * @param connection the connection, acquired and without a pending exchange
   * @param values the session's values
   * @param shape the prepared statement that is about to run, if any
   * @param done receives whether the connection is ready; if not, the connection was closed
   */
  public void run(
      MemberConnection connection,
      Map<String, String> values,
      Optional<PreparedShape> shape,
      Consumer<Boolean> done) {
    next(
        connection,
        new ArrayDeque<>(
            SessionSync.steps(connection.values(), connection.prepared(), values, shape)),
        done);
  }

  private void next(
      MemberConnection connection, Deque<SessionSync.Step> steps, Consumer<Boolean> done) {
    SessionSync.Step step = steps.poll();
    if (step == null) {
      done.accept(true);
      return;
    }
    String line =
        protocol.query(MemberProtocol.INTERNAL_STATEMENT_ID, Optional.empty(), text(step));
    connection.exchange(
        line,
        AnswerKind.SESSION_STATE,
        STEP_TIMEOUT_MILLIS,
        answer -> {
          if (answer instanceof MemberAnswer.Complete complete && complete.failure().isEmpty()) {
            apply(connection, step);
            next(connection, steps, done);
          } else {
            connection.abort(LossCause.DISCARDED);
            done.accept(false);
          }
        });
  }

  private String text(SessionSync.Step step) {
    if (step instanceof SessionSync.Step.SetValue set) {
      return protocol.text(new Statement.SetValue(set.name(), set.value()));
    }
    if (step instanceof SessionSync.Step.Prepare prepare) {
      PreparedShape shape = prepare.shape();
      return protocol.text(new Statement.Prepare(names.name(shape), shape));
    }
    return protocol.resetText();
  }

  private static void apply(MemberConnection connection, SessionSync.Step step) {
    if (step instanceof SessionSync.Step.SetValue set) {
      connection.values().put(set.name(), set.value());
    } else if (step instanceof SessionSync.Step.Prepare prepare) {
      connection.prepared().add(prepare.shape());
    } else {
      connection.values().clear();
      connection.prepared().clear();
    }
  }
}
