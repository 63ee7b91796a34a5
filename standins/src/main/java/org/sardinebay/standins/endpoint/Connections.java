package org.sardinebay.standins.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;

/** Opens and closes the connections of a member and enforces their limit. */
final class Connections {
  private final MemberSettings settings;
  private final MemberState state;
  private final Timers timers;
  private final Outbox outbox;
  private final Map<String, Connection> byId = new HashMap<>();
  private boolean leaving;
  private long opensAccepted;
  private long refused;
  private int peak;

  Connections(MemberSettings settings, MemberState state, Timers timers, Outbox outbox) {
    this.settings = settings;
    this.state = state;
    this.timers = timers;
    this.outbox = outbox;
  }

  /**
   * Opens a connection. It counts toward the limit immediately and is usable once the reply is
   * sent.
   */
  void open(long now, long ticket, String client) {
    if (leaving || byId.size() >= settings.connectionLimit()) {
      refused++;
      EndpointRefusal refusal =
          leaving ? EndpointRefusal.LEAVING : EndpointRefusal.CONNECTION_LIMIT;
      outbox.answer(ticket, state.refused(refusal));
      return;
    }
    opensAccepted++;
    Connection connection =
        new Connection(client + "/" + state.self() + "/" + now + "-" + opensAccepted);
    byId.put(connection.id(), connection);
    updatePeakAndCheckLimit();
    timers.schedule(now + settings.openMillis(), at -> opened(at, ticket, connection));
  }

  EndpointReply close(String id) {
    find(id).ifPresent(this::remove);
    return new EndpointReply.Closed();
  }

  Optional<Connection> find(String id) {
    return Optional.ofNullable(byId.get(id)).filter(Connection::open);
  }

  void dropTransactions() {
    byId.values().forEach(connection -> connection.transaction(Optional.empty()));
  }

  /** Returns the number of connections that are open or being opened. */
  int count() {
    return byId.size();
  }

  int peak() {
    return peak;
  }

  long refusedOpens() {
    return refused;
  }

  long transactions() {
    return byId.values().stream()
        .filter(connection -> connection.transaction().isPresent())
        .count();
  }

  boolean leaving() {
    return leaving;
  }

  void leaving(boolean newLeaving) {
    leaving = newLeaving;
  }

  private void opened(long now, long ticket, Connection connection) {
    connection.opened(now);
    outbox.answer(ticket, new EndpointReply.Opened(connection.id()));
    timers.schedule(now + settings.idleMillis(), at -> closeIfIdle(at, connection));
  }

  private void closeIfIdle(long now, Connection connection) {
    if (!connection.open()) {
      return;
    }
    long expiresAt = connection.idleSince() + settings.idleMillis();
    if (!connection.busy() && now >= expiresAt) {
      remove(connection);
      return;
    }
    long checkAt = connection.busy() ? now + settings.idleMillis() : expiresAt;
    timers.schedule(checkAt, at -> closeIfIdle(at, connection));
  }

  private void remove(Connection connection) {
    connection.close();
    byId.remove(connection.id());
  }

  private void updatePeakAndCheckLimit() {
    peak = Math.max(peak, byId.size());
    if (byId.size() > settings.connectionLimit()) {
      throw new IllegalStateException("connections above the limit: " + byId.size());
    }
  }
}
