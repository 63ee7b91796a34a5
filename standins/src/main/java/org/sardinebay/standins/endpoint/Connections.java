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
  private final Map<String, Connection> byName = new HashMap<>();
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
    if (leaving || byName.size() >= settings.connectionLimit()) {
      refused++;
      EndpointRefusal refusal =
          leaving ? EndpointRefusal.LEAVING : EndpointRefusal.CONNECTION_LIMIT;
      outbox.answer(ticket, state.refused(refusal));
      return;
    }
    opensAccepted++;
    Connection connection =
        new Connection(client + "/" + state.self() + "/" + now + "-" + opensAccepted);
    byName.put(connection.name(), connection);
    checkLimit();
    timers.schedule(now + settings.openMillis(), at -> opened(at, ticket, connection));
  }

  EndpointReply close(String name) {
    find(name).ifPresent(this::remove);
    return new EndpointReply.Closed();
  }

  Optional<Connection> find(String name) {
    return Optional.ofNullable(byName.get(name)).filter(Connection::open);
  }

  void dropTransactions() {
    byName.values().forEach(connection -> connection.transaction(Optional.empty()));
  }

  /** Returns the number of connections that are open or being opened. */
  int count() {
    return byName.size();
  }

  int peak() {
    return peak;
  }

  long refusedOpens() {
    return refused;
  }

  long transactions() {
    return byName.values().stream()
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
    outbox.answer(ticket, new EndpointReply.Opened(connection.name()));
    timers.schedule(now + settings.idleMillis(), at -> closeIfIdle(at, connection));
  }

  private void closeIfIdle(long now, Connection connection) {
    if (!connection.open()) {
      return;
    }
    long idleAt = connection.idleSince() + settings.idleMillis();
    if (!connection.busy() && now >= idleAt) {
      remove(connection);
      return;
    }
    long checkAt = connection.busy() ? now + settings.idleMillis() : idleAt;
    timers.schedule(checkAt, at -> closeIfIdle(at, connection));
  }

  private void remove(Connection connection) {
    connection.close();
    byName.remove(connection.name());
  }

  private void checkLimit() {
    peak = Math.max(peak, byName.size());
    if (byName.size() > settings.connectionLimit()) {
      throw new IllegalStateException("connections above the limit: " + byName.size());
    }
  }
}
