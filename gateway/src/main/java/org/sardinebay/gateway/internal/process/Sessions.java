package org.sardinebay.gateway.internal.process;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.Clock;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.CallerSession;
import org.sardinebay.gateway.internal.connection.LineChannel;
import org.sardinebay.gateway.internal.connection.MemberConnection;
import org.sardinebay.gateway.internal.connection.RefusedSession;
import org.sardinebay.gateway.internal.connection.SessionRefusals;
import org.sardinebay.gateway.internal.request.StatementRunner;
import org.sardinebay.gateway.internal.request.StoppableRunner;
import org.sardinebay.gateway.internal.version.Services;
import org.sardinebay.session.CallerProtocol;
import org.sardinebay.session.MemberProtocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections of callers and tracks their sessions. */
final class Sessions {
  private static final Logger LOG = LoggerFactory.getLogger(Sessions.class);

  /**
   * How many sessions a new configuration is applied to in one iteration of the event loop; the
   * others check it before their next statement.
   */
  private static final int CONFIGURATION_BATCH = 500;

  private final Eventloop loop;
  private final Services services;
  private final StoppableRunner runner;
  private final CallerProtocol protocol;
  private final MemberProtocol memberProtocol;
  private final Clock clock;
  private final Set<CallerSession> openSessions = new HashSet<>();
  private final SessionRefusals refusals;
  private boolean closing;
  private boolean refusing;

  Sessions(
      Eventloop loop,
      Services services,
      StatementRunner runner,
      CallerProtocol protocol,
      MemberProtocol memberProtocol,
      Clock clock) {
    this.loop = loop;
    this.services = services;
    this.runner = new StoppableRunner(runner, clock);
    this.protocol = protocol;
    this.memberProtocol = memberProtocol;
    this.clock = clock;
    this.refusals = new SessionRefusals(clock);
  }

  void serve(CallerListener listener) throws IOException {
    listener.serve(loop, this::accept);
  }

  private void accept(ITcpSocket socket) {
    if (refusing) {
      RefusedSession refused = new RefusedSession(protocol);
      refused.start(new LineChannel((TcpSocket) socket, MemberConnection.MAX_LINE_BYTES, refused));
      return;
    }
    CallerSession session =
        new CallerSession(
            services, runner, protocol, memberProtocol, clock, refusals, openSessions::remove);
    openSessions.add(session);
    session.start(new LineChannel((TcpSocket) socket, MemberConnection.MAX_LINE_BYTES, session));
    if (closing) {
      session.closeAfterNext();
    }
  }

  int size() {
    return openSessions.size();
  }

  /** Returns how many sessions were refused, or ended by a refusal. */
  long refused() {
    return refusals.count();
  }

  int openTransactions() {
    return (int) openSessions.stream().filter(CallerSession::inTransaction).count();
  }

  void tick(long now) {
    new ArrayList<>(openSessions).forEach(session -> runGuarded(() -> session.tick(now)));
  }

  /** Applies the configuration in force to all open sessions. */
  void applyConfiguration() {
    applyConfiguration(new ArrayDeque<>(openSessions), new HashMap<>(), services.table().version());
  }

  private void applyConfiguration(
      Deque<CallerSession> remaining, Map<Optional<WorkspaceId>, Integer> withdrawn, long version) {
    for (int i = 0; i < CONFIGURATION_BATCH && !remaining.isEmpty(); i++) {
      CallerSession session = remaining.remove();
      runGuarded(
          () -> {
            if (session.applyConfiguration()) {
              withdrawn.merge(session.workspace(), 1, Integer::sum);
            }
          });
    }
    if (remaining.isEmpty()) {
      withdrawn.forEach((workspace, count) -> logWithdrawn(workspace, count, version));
    } else {
      loop.delay(1, () -> applyConfiguration(remaining, withdrawn, version));
    }
  }

  private static void logWithdrawn(Optional<WorkspaceId> workspace, int sessions, long version) {
    LOG.atInfo()
        .setMessage("key_withdrawn")
        .addKeyValue("workspace", workspace.map(WorkspaceId::value).orElse("-"))
        .addKeyValue("sessions", sessions)
        .addKeyValue("version", version)
        .log();
  }

  /**
   * Runs a task of one session. An exception in it must not keep the other sessions from theirs.
   */
  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.atError().setMessage("session_task_failed").setCause(e).log();
    }
  }

  /**
   * Ends each session after its next statement or transaction, including sessions that are opened
   * later.
   */
  void closeAfterNext() {
    closing = true;
    new ArrayList<>(openSessions).forEach(CallerSession::closeAfterNext);
  }

  /**
   * Ends idle sessions at once, and other sessions after their current statement or transaction.
   */
  void closeWhenIdle() {
    closing = true;
    new ArrayList<>(openSessions).forEach(CallerSession::closeWhenIdle);
  }

  /** Refuses new sessions and further statements, and ends idle sessions. */
  void refuseFurther() {
    refusing = true;
    runner.refuseFurther();
    closeWhenIdle();
  }

  /**
   * Ends all sessions at once, after a final answer to each statement that is running.
   *
   * @return the number of statements that ended without a result
   */
  int endAll() {
    int unanswered = runner.answerAll();
    new ArrayList<>(openSessions).forEach(session -> runGuarded(session::end));
    return unanswered;
  }
}
