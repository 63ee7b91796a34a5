package org.sardinebay.gateway.internal.process;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.sardinebay.Address;
import org.sardinebay.Clock;
import org.sardinebay.gateway.internal.connection.CallerSession;
import org.sardinebay.gateway.internal.connection.LineChannel;
import org.sardinebay.gateway.internal.connection.MemberConnection;
import org.sardinebay.gateway.internal.request.StatementRunner;
import org.sardinebay.gateway.internal.version.Services;
import org.sardinebay.session.CallerProtocol;
import org.sardinebay.session.MemberProtocol;

/** Accepts connections of callers and tracks their sessions. */
final class Sessions {
  private final Services services;
  private final StatementRunner runner;
  private final CallerProtocol protocol;
  private final MemberProtocol memberProtocol;
  private final Clock clock;
  private final Set<CallerSession> openSessions = new HashSet<>();
  private boolean closing;

  Sessions(
      Services services,
      StatementRunner runner,
      CallerProtocol protocol,
      MemberProtocol memberProtocol,
      Clock clock) {
    this.services = services;
    this.runner = runner;
    this.protocol = protocol;
    this.memberProtocol = memberProtocol;
    this.clock = clock;
  }

  void listen(Eventloop loop, Address address) throws IOException {
    SimpleServer.builder(loop, this::accept)
        .withListenAddress(address.socketAddress())
        .build()
        .listen();
  }

  private void accept(ITcpSocket socket) {
    CallerSession session =
        new CallerSession(services, runner, protocol, memberProtocol, clock, openSessions::remove);
    openSessions.add(session);
    session.start(new LineChannel((TcpSocket) socket, MemberConnection.MAX_LINE_BYTES, session));
    if (closing) {
      session.closeAfterNext();
    }
  }

  int size() {
    return openSessions.size();
  }

  int openTransactions() {
    return (int) openSessions.stream().filter(CallerSession::inTransaction).count();
  }

  void tick(long now) {
    new ArrayList<>(openSessions).forEach(session -> session.tick(now));
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
}
