package org.sardinebay.gateway.internal.connection;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.internal.connection.ConnectionQuota;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.TransactionState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A pool of this host's connections to one member, which opens more connections as far as the quota
 * permits.
 *
 * <pre>{@code
 * Optional<MemberConnection> connection = pool.acquire(values);
 * ...
 * pool.release(connection);
 * }</pre>
 */
public final class MemberPool {
  private static final Logger LOG = LoggerFactory.getLogger(MemberPool.class);

  /** Timeout for opening a connection: far above a round trip between regions. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * When a member has sent no line for this long while an answer is pending, in milliseconds, a new
   * connection is opened as a probe. Longer than the execution of the longest statements.
   */
  private static final long SILENCE_MILLIS = 350;

  /** Timeout for starting the session on a new connection, in milliseconds. */
  private static final long START_TIMEOUT_MILLIS = 700;

  /** Delay before another connection is opened after a failure, in milliseconds. */
  private static final long REOPEN_DELAY_MILLIS = 150;

  /** Receives the events of a pool. */
  public interface Listener {
    /**
     * Called when a connection became idle, so that waiting statements may be placed.
     *
     * @param pool the pool
     */
    void onConnectionIdle(MemberPool pool);

    /**
     * Called when a connection could not be opened, and by {@link MemberPool#reportLoss}.
     *
     * @param pool the pool
     * @param cause the cause of the loss
     */
    void onLost(MemberPool pool, LossCause cause);
  }

  private final Eventloop loop;
  private final Clock clock;
  private final HostId self;
  private final MemberProtocol protocol;
  private final Listener listener;
  private final ConnectionQuota quota;
  private final Deque<MemberConnection> idle = new ArrayDeque<>();
  private final Set<MemberConnection> connections = new HashSet<>();
  private MemberEntry entry;
  private int openingCount;
  private long reopenAt = Long.MIN_VALUE;
  private long lastLineAt;
  private boolean closed;

  /**
   * Creates an empty pool.
   *
   * @param loop the event loop that the pool runs on
   * @param clock the clock
   * @param self this host
   * @param protocol the protocol
   * @param entry the member
   * @param quota limits the number of connections
   * @param listener receives the events of the pool
   */
  public MemberPool(
      Eventloop loop,
      Clock clock,
      HostId self,
      MemberProtocol protocol,
      MemberEntry entry,
      ConnectionQuota quota,
      Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.self = self;
    this.protocol = protocol;
    this.entry = entry;
    this.quota = quota;
    this.listener = listener;
  }

  /**
   * Returns the member.
   *
   * @return the member's entry
   */
  public MemberEntry entry() {
    return entry;
  }

  /**
   * Replaces the entry with a newer one of the same member.
   *
   * @param newer the entry
   */
  public void update(MemberEntry newer) {
    entry = newer;
  }

  /**
   * Returns the limit on connections.
   *
   * @return the quota, updated from the member's status
   */
  public ConnectionQuota quota() {
    return quota;
  }

  /**
   * Acquires an idle connection: the last released one that already holds the session's values,
   * otherwise the one that has been idle longest.
   *
   * @param values the session's values
   * @return the connection, empty if none is idle
   */
  public Optional<MemberConnection> acquire(Map<String, String> values) {
    Iterator<MemberConnection> newestFirst = idle.iterator();
    while (newestFirst.hasNext()) {
      MemberConnection connection = newestFirst.next();
      if (connection.values().equals(values)) {
        newestFirst.remove();
        return Optional.of(connection);
      }
    }
    return Optional.ofNullable(idle.pollLast());
  }

  /**
   * Returns a connection to the pool. A connection that can't be reused is discarded.
   *
   * @param connection the connection
   */
  public void release(MemberConnection connection) {
    if (!connection.usable()) {
      return;
    }
    if (closed || connection.busy() || connection.state() != TransactionState.IDLE) {
      connection.abort(LossCause.DISCARDED);
      return;
    }
    connection.releasedAt(clock.millis());
    idle.addFirst(connection);
    listener.onConnectionIdle(this);
  }

  /**
   * Whether a connection is idle.
   *
   * @return true if {@link #acquire} finds one
   */
  public boolean hasIdle() {
    return !idle.isEmpty();
  }

  /**
   * Whether a connection may be opened now.
   *
   * @return true if no connection is being opened, the delay after a failure is over, and the quota
   *     permits another connection
   */
  public boolean mayOpen() {
    return !closed
        && openingCount == 0
        && clock.millis() >= reopenAt
        && quota.mayOpen(connections.size() + openingCount, clock.millis());
  }

  /**
   * Returns the number of connections in use.
   *
   * @return the number of connections that are not idle
   */
  public int inUse() {
    return connections.size() - idle.size();
  }

  /**
   * Returns the number of connections of this host to the member.
   *
   * @return the number of connections, including idle ones
   */
  public int size() {
    return connections.size();
  }

  /**
   * Returns the number of connections that can run statements.
   *
   * @return the number of connections, without those that a transaction holds between two
   *     statements
   */
  public int working() {
    return (int)
        connections.stream().filter(c -> c.busy() || c.state() != TransactionState.OPEN).count();
  }

  /**
   * Returns the time since the member last sent a line.
   *
   * @param now the current time by this host's clock, in milliseconds
   * @return the time in milliseconds
   */
  public long silenceMillis(long now) {
    return now - lastLineAt;
  }

  /**
   * Opens a connection if permitted. The listener is notified when the connection is idle, or if it
   * could not be opened, but not if the member refused the session.
   */
  public void open() {
    if (mayOpen()) {
      connect();
    }
  }

  private void connect() {
    openingCount++;
    TcpSocket.connect(
            loop,
            entry.address().socketAddress(),
            CONNECT_TIMEOUT,
            SocketSettings.defaultInstance())
        .whenComplete(
            (socket, e) -> {
              if (e == null) {
                startSession(socket);
              } else {
                openFailed(
                    e instanceof ConnectException ? LossCause.REFUSED : LossCause.CONNECT_TIMEOUT);
              }
            });
  }

  private void startSession(TcpSocket socket) {
    MemberConnection connection =
        new MemberConnection(
            entry.id(), socket, protocol, clock, this::onLineReceived, this::remove);
    connections.add(connection);
    connection.start();
    connection.exchange(
        protocol.start(entry.service(), self.value(), entry.id()),
        START_TIMEOUT_MILLIS,
        answer -> onSessionStarted(connection, answer));
  }

  private void onSessionStarted(MemberConnection connection, MemberAnswer answer) {
    if (answer instanceof MemberAnswer.Complete complete && complete.failure().isEmpty()) {
      openingCount--;
      quota.opened();
      release(connection);
      return;
    }
    if (answer instanceof MemberAnswer.Complete complete) {
      ErrorCode code = complete.failure().orElseThrow().code();
      if (code == ErrorCode.TOO_MANY_CONNECTIONS) {
        quota.refused(clock.millis());
      }
      LOG.atWarn()
          .setMessage("member_refused_connection")
          .addKeyValue("service", entry.service())
          .addKeyValue("member", entry.id().value())
          .addKeyValue("code", code)
          .addKeyValue("own", connections.size())
          .log();
      connection.abort(LossCause.DISCARDED);
      openingCount--;
      reopenAt = clock.millis() + REOPEN_DELAY_MILLIS;
      return;
    }
    openFailed(((MemberAnswer.Lost) answer).cause());
  }

  private void openFailed(LossCause cause) {
    openingCount--;
    reopenAt = clock.millis() + REOPEN_DELAY_MILLIS;
    listener.onLost(this, cause);
  }

  private void onLineReceived() {
    lastLineAt = clock.millis();
  }

  /**
   * Opens a connection to a member that does not respond: if it can't be opened, the member is
   * unreachable and not merely slow.
   */
  private void probeIfSilent(List<MemberConnection> snapshot, long now) {
    boolean silent =
        now - lastLineAt >= SILENCE_MILLIS
            && snapshot.stream()
                .anyMatch(connection -> connection.pendingMillis(now) >= SILENCE_MILLIS);
    if (silent && openingCount == 0 && now >= reopenAt) {
      connect();
    }
  }

  private void remove(MemberConnection connection) {
    connections.remove(connection);
    idle.remove(connection);
  }

  /**
   * Reports that an exchange on an acquired connection was lost.
   *
   * @param cause the cause of the loss
   */
  public void reportLoss(LossCause cause) {
    listener.onLost(this, cause);
  }

  /**
   * Aborts connections whose answer is overdue, probes a member that does not respond, and closes
   * an idle connection if other hosts need it.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void sweep(long now) {
    List<MemberConnection> snapshot = new ArrayList<>(connections);
    snapshot.forEach(connection -> connection.abortIfOverdue(now));
    probeIfSilent(snapshot, now);
    if (quota.shouldShrink(connections.size()) && idle.size() > 1) {
      MemberConnection oldest = idle.peekLast();
      if (now - oldest.releasedAt() >= ConnectionQuota.IDLE_BEFORE_SHRINK_MILLIS) {
        oldest.abort(LossCause.DISCARDED);
      }
    }
  }

  /**
   * Closes the connections that have been idle for {@link
   * ConnectionQuota#IDLE_BEFORE_SHRINK_MILLIS}. Called while this host is not a home of the
   * service.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void closeIdle(long now) {
    new ArrayList<>(idle)
        .stream()
            .filter(
                connection ->
                    now - connection.releasedAt() >= ConnectionQuota.IDLE_BEFORE_SHRINK_MILLIS)
            .forEach(connection -> connection.abort(LossCause.DISCARDED));
  }

  /** Closes all connections; pending exchanges end with {@link MemberAnswer.Lost}. */
  public void close() {
    closed = true;
    new ArrayList<>(connections).forEach(connection -> connection.abort(LossCause.DISCARDED));
  }
}
