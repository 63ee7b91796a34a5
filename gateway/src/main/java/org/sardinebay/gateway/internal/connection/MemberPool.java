package org.sardinebay.gateway.internal.connection;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinebay.Clock;
import org.sardinebay.HostId;
import org.sardinebay.WorkspaceId;
import org.sardinebay.internal.connection.ConnectionQuota;
import org.sardinebay.internal.connection.IdleConnections;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.TransactionState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A pool of this host's connections to one member, which opens more connections as far as the quota
 * permits. Each connection is bound to a workspace, or to none and then carries this host's name.
 *
 * <pre>{@code
 * Optional<MemberConnection> connection = pool.acquire(workspace, values);
 * ...
 * pool.release(connection);
 * }</pre>
 */
public final class MemberPool {
  private static final Logger LOG = LoggerFactory.getLogger(MemberPool.class);

  /** Delay before another connection is opened after a failure, in milliseconds. */
  private static final long REOPEN_DELAY_MILLIS = 150;

  /**
   * Delay before another connection is opened while others are left, in milliseconds, after one was
   * given up because the member answered with the same error again: it has no capacity, or lags,
   * and opening a connection takes capacity.
   */
  private static final long REOPEN_AFTER_ERRORS_MILLIS = 1_000;

  private final Clock clock;
  private final MemberPoolListener listener;
  private final ConnectionQuota quota;
  private final IdleConnections<MemberConnection> idle = new IdleConnections<>();
  private final Set<MemberConnection> connections = new HashSet<>();
  private final ConnectionOpener opener;
  private MemberEntry entry;
  private long reopenAt = Long.MIN_VALUE;
  private long reopenAfterErrorsAt = Long.MIN_VALUE;
  private final MemberSilence silence = new MemberSilence();
  private long opened;
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
      MemberPoolListener listener) {
    this.clock = clock;
    this.entry = entry;
    this.quota = quota;
    this.listener = listener;
    this.opener = new ConnectionOpener(loop, clock, self, protocol, new Opened());
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
   * Acquires an idle connection of a workspace, preferably one that already holds the session's
   * values.
   *
   * @param workspace the workspace of the statement
   * @param values the session's values
   * @return the connection, empty if none of the workspace is idle
   */
  public Optional<MemberConnection> acquire(
      Optional<WorkspaceId> workspace, Map<String, String> values) {
    return idle.take(workspace, connection -> connection.values().equals(values));
  }

  /**
   * Acquires an idle connection of any workspace for a control statement: one without an earlier
   * status if there is one, and the one that is least likely to be needed by a statement.
   *
   * @return the connection, empty if none is idle
   */
  public Optional<ControlConnection> acquireForControl() {
    if (!servesWorkspaces()) {
      return idle.take(Optional.empty(), connection -> !connection.statusRequested())
          .map(connection -> new ControlConnection(connection, () -> release(connection)));
    }
    return idle.takeOldest(connection -> !connection.statusRequested())
        .map(taken -> new ControlConnection(taken.connection(), () -> releaseUnused(taken)));
  }

  private boolean servesWorkspaces() {
    return connections.stream().anyMatch(connection -> connection.workspace().isPresent());
  }

  private void releaseUnused(IdleConnections.Idle<MemberConnection> taken) {
    if (mayBeReused(taken.connection())) {
      idle.addUnused(taken);
      listener.onConnectionIdle(this);
    }
  }

  /**
   * Returns a connection to the pool. A connection that can't be reused is discarded.
   *
   * @param connection the connection
   */
  public void release(MemberConnection connection) {
    if (mayBeReused(connection)) {
      idle.add(connection, connection.workspace(), clock.millis());
      listener.onConnectionIdle(this);
    }
  }

  private boolean mayBeReused(MemberConnection connection) {
    if (!connection.usable()) {
      return false;
    }
    if (closed || !connection.reusable()) {
      discard(connection);
      return false;
    }
    return true;
  }

  private void discard(MemberConnection connection) {
    boolean errorsRepeat = !connection.errorsProven();
    connection.abort(LossCause.DISCARDED);
    quota.closed();
    if (errorsRepeat) {
      reopenAfterErrorsAt = clock.millis() + REOPEN_AFTER_ERRORS_MILLIS;
    }
  }

  /**
   * Whether a connection of any workspace is idle.
   *
   * @return true if {@link #acquireForControl} finds one
   */
  public boolean hasIdle() {
    return idle.size() > 0;
  }

  /**
   * Whether a connection is idle on which no status was requested.
   *
   * @return true if {@link #acquireForControl} prefers one
   */
  public boolean hasIdleWithoutStatus() {
    return idle.has(connection -> !connection.statusRequested());
  }

  /**
   * Whether a connection of a workspace is idle.
   *
   * @param workspace the workspace
   * @return true if {@link #acquire} finds one
   */
  public boolean hasIdle(Optional<WorkspaceId> workspace) {
    return idle.has(workspace);
  }

  /**
   * Whether a connection may be opened now.
   *
   * @param maxOpening the number of connections that may be in the process of opening at a time
   * @return true if fewer connections are being opened, the delay after a failure is over, and the
   *     quota permits another connection
   */
  public boolean mayOpen(int maxOpening) {
    return mayConnect(maxOpening)
        && quota.mayOpen(connections.size() + opener.connecting(), opener.count(), clock.millis());
  }

  private boolean mayConnect(int maxOpening) {
    long now = clock.millis();
    return !closed
        && opener.count() < maxOpening
        && now >= reopenAt
        && (connections.isEmpty() || now >= reopenAfterErrorsAt);
  }

  /**
   * Whether an idle connection of another workspace may be replaced now.
   *
   * @param claim the workspace that needs a connection
   * @param maxOpening the number of connections that may be in the process of opening at a time
   * @return true if {@link #replace} would open a connection
   */
  public boolean mayReplace(IdleConnections.Claim claim, int maxOpening) {
    return mayConnect(maxOpening) && idle.replaceable(claim).isPresent();
  }

  /**
   * Returns the number of a workspace's connections that run a single statement or are being
   * opened. Those that a transaction holds are not counted: they may be held for long.
   *
   * @param workspace the workspace
   * @return the number of connections that may become idle soon
   */
  public int serving(Optional<WorkspaceId> workspace) {
    long established =
        connections.stream()
            .filter(connection -> connection.workspace().equals(workspace))
            .filter(connection -> connection.state() == TransactionState.IDLE)
            .count();
    return (int) established - idle.size(workspace) + opener.connecting(workspace);
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
   * Returns how many connections were opened.
   *
   * @return the number since this pool was created, without those that the member refused
   */
  public long opened() {
    return opened;
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
    return silence.millis(now);
  }

  /**
   * Opens a connection that carries this host's name, if permitted. The listener learns when it is
   * idle or could not be opened, but not if the member refused the session.
   */
  public void open() {
    if (mayOpen(1)) {
      opener.open(entry, Optional.empty());
    }
  }

  /**
   * Opens a connection for a workspace, in this host's name without one; {@link #mayOpen} must
   * permit it.
   *
   * @param workspace the workspace
   * @return the connection that is being opened
   */
  public Opening open(Optional<WorkspaceId> workspace) {
    return opener.open(entry, workspace);
  }

  /**
   * Closes the least recently used idle connection of another workspace and opens one in its place;
   * {@link #mayReplace} must permit it.
   *
   * @param claim the workspace that needs a connection
   * @return the connection that is being opened
   */
  public Opening replace(IdleConnections.Claim claim) {
    idle.replaceable(claim).orElseThrow().abort(LossCause.DISCARDED);
    quota.closed();
    return opener.open(entry, claim.workspace());
  }

  /** Receives the events of the connections that are opened, and the end of all. */
  private final class Opened implements ConnectionOpener.Listener {
    @Override
    public void onConnected(MemberConnection connection) {
      connections.add(connection);
    }

    @Override
    public void onEstablished(MemberConnection connection) {
      quota.opened();
      opened++;
      if (mayBeReused(connection)) {
        idle.addNew(connection, connection.workspace(), clock.millis());
        listener.onConnectionIdle(MemberPool.this);
      }
    }

    @Override
    public void onRefused(MemberConnection connection, ErrorCode code) {
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
      reopenAt = clock.millis() + REOPEN_DELAY_MILLIS;
    }

    @Override
    public void onFailed(LossCause cause) {
      reopenAt = clock.millis() + REOPEN_DELAY_MILLIS;
      listener.onLost(MemberPool.this, cause);
    }

    @Override
    public void onLineReceived() {
      silence.onLine(clock.millis());
    }

    @Override
    public void onEnd(MemberConnection connection, LossCause cause) {
      if (cause == LossCause.UNPROVEN || cause == LossCause.OUT_OF_STEP) {
        quota.closed();
      }
      connections.remove(connection);
      idle.remove(connection);
    }
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
    long pendingMillis =
        snapshot.stream().mapToLong(connection -> connection.pendingMillis(now)).max().orElse(0);
    if (silence.needsProbe(pendingMillis, now) && opener.count() == 0 && now >= reopenAt) {
      // If no connection can be opened, the member is unreachable and not merely slow.
      opener.open(entry, Optional.empty());
    }
    if (idle.size() > 1) {
      quota
          .maxIdleMillis(connections.size(), servesWorkspaces())
          .ifPresent(maxIdleMillis -> closeOldest(now - maxIdleMillis));
    }
  }

  private void closeOldest(long usedBefore) {
    Optional<IdleConnections.Idle<MemberConnection>> oldest = idle.oldest();
    if (oldest.isPresent() && oldest.get().usedAt() <= usedBefore) {
      if (servesWorkspaces()) {
        // The member reports its total only every 8 s. Until then, one report must not close more.
        quota.closed();
      }
      oldest.get().connection().abort(LossCause.DISCARDED);
    }
  }

  /**
   * Closes the connections that have been idle for long. Called while this host is not a home of
   * the service.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void closeIdle(long now) {
    idle.unusedSince(now - ConnectionQuota.IDLE_BEFORE_SHRINK_MILLIS)
        .forEach(connection -> connection.abort(LossCause.DISCARDED));
  }

  /** Closes all connections; pending exchanges end with {@link MemberAnswer.Lost}. */
  public void close() {
    closed = true;
    new ArrayList<>(connections).forEach(connection -> connection.abort(LossCause.DISCARDED));
  }
}
