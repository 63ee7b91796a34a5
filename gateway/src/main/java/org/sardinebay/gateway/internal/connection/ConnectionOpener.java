package org.sardinebay.gateway.internal.connection;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.internal.connection.AnswerKind;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberProtocol;

/**
 * Opens connections to one member: connects, and starts a session for a workspace or, without one,
 * in this host's name.
 *
 * <pre>{@code
 * Opening opening = opener.open(entry, workspace);
 * }</pre>
 */
final class ConnectionOpener {
  /** Timeout for opening a connection: far above a round trip between regions. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Timeout for starting the session on a new connection, in milliseconds. */
  private static final long START_TIMEOUT_MILLIS = 700;

  /** Receives the events of the connections. */
  interface Listener {
    /** Called when a socket is connected, before the session is started. */
    void onConnected(MemberConnection connection);

    /** Called when the session is started. */
    void onEstablished(MemberConnection connection);

    /** Called when the member refused the session; the listener has to close the connection. */
    void onRefused(MemberConnection connection, ErrorCode code);

    /** Called when no connection could be opened. */
    void onFailed(LossCause cause);

    /** Called for each line that the member sends. */
    void onLineReceived();

    /** Called when a connection that was connected has ended. */
    void onEnd(MemberConnection connection, LossCause cause);
  }

  private final Eventloop loop;
  private final Clock clock;
  private final HostId self;
  private final MemberProtocol protocol;
  private final Listener listener;
  private final Set<Opening> openings = new HashSet<>();

  ConnectionOpener(
      Eventloop loop, Clock clock, HostId self, MemberProtocol protocol, Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.self = self;
    this.protocol = protocol;
    this.listener = listener;
  }

  /** Returns the number of connections being opened. */
  int count() {
    return openings.size();
  }

  /** Returns the number of connections being opened whose socket is not connected yet. */
  int connecting() {
    return (int) openings.stream().filter(opening -> !opening.connected()).count();
  }

  /** Returns the number of connections of a workspace whose socket is not connected yet. */
  int connecting(Optional<WorkspaceId> workspace) {
    return (int)
        openings.stream()
            .filter(opening -> !opening.connected() && opening.workspace().equals(workspace))
            .count();
  }

  /** Opens a connection for a workspace, or in this host's name. */
  Opening open(MemberEntry member, Optional<WorkspaceId> workspace) {
    Opening opening = new Opening(workspace);
    openings.add(opening);
    TcpSocket.connect(
            loop,
            member.address().socketAddress(),
            CONNECT_TIMEOUT,
            SocketSettings.defaultInstance())
        .whenComplete(
            (socket, e) -> {
              if (e == null) {
                startSession(opening, member, socket);
              } else {
                end(opening);
                listener.onFailed(
                    e instanceof ConnectException ? LossCause.REFUSED : LossCause.CONNECT_TIMEOUT);
              }
            });
    return opening;
  }

  private void startSession(Opening opening, MemberEntry member, TcpSocket socket) {
    MemberConnection connection =
        new MemberConnection(
            member.id(),
            opening.workspace(),
            socket,
            protocol,
            clock,
            listener::onLineReceived,
            listener::onEnd);
    opening.markConnected();
    listener.onConnected(connection);
    connection.start();
    String user = opening.workspace().map(WorkspaceId::value).orElse(self.value());
    connection.exchange(
        protocol.start(member.service(), user, member.id()),
        AnswerKind.SESSION_START,
        START_TIMEOUT_MILLIS,
        answer -> onSessionStarted(opening, connection, answer));
  }

  private void onSessionStarted(Opening opening, MemberConnection connection, MemberAnswer answer) {
    end(opening);
    if (answer instanceof MemberAnswer.Lost lost) {
      listener.onFailed(lost.cause());
      return;
    }
    ((MemberAnswer.Complete) answer)
        .failure()
        .ifPresentOrElse(
            failure -> listener.onRefused(connection, failure.code()),
            () -> listener.onEstablished(connection));
  }

  private void end(Opening opening) {
    opening.markEnded();
    openings.remove(opening);
  }
}
