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
import org.sardinebay.internal.connection.ConnectionAllowance;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.MemberEntry;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.TransactionState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This host's connections to one member: lends idle ones, opens more within the allowance.
 *
 * <pre>{@code
 * Optional<MemberLink> link = pool.lend(values);
 * ...
 * pool.giveBack(link);
 * }</pre>
 */
public final class MemberPool {
  private static final Logger LOG = LoggerFactory.getLogger(MemberPool.class);

  /** How long a connection may take to be made: far above a round trip between regions. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * After how long without a line from a member, while an answer is awaited, a new connection is
   * tried, in milliseconds: above the work of the longest statements.
   */
  private static final long SILENCE_MILLIS = 350;

  /** How long the member may take to accept the session, in milliseconds. */
  private static final long START_TIMEOUT_MILLIS = 700;

  /** How long after a failed attempt the next one waits, in milliseconds. */
  private static final long REOPEN_DELAY_MILLIS = 150;

  /** Tells what happens to the pool. */
  public interface Listener {
    /**
     * A link is idle, or one has ended: waiting statements may find a place.
     *
     * @param pool the pool
     */
    void onCapacity(MemberPool pool);

    /**
     * A connection could not be made, or was lost.
     *
     * @param pool the pool
     * @param cause why
     */
    void onLost(MemberPool pool, LossCause cause);
  }

  private final Eventloop loop;
  private final Clock clock;
  private final HostId self;
  private final MemberProtocol protocol;
  private final Listener listener;
  private final ConnectionAllowance allowance;
  private final Deque<MemberLink> idle = new ArrayDeque<>();
  private final Set<MemberLink> all = new HashSet<>();
  private MemberEntry entry;
  private int opening;
  private long reopenAt = Long.MIN_VALUE;
  private long heardAt;
  private boolean closed;

  /**
   * An empty pool.
   *
   * @param loop the loop that it runs on
   * @param clock the clock
   * @param self this host
   * @param protocol the protocol
   * @param entry the member
   * @param allowance how many connections may be open
   * @param listener what is told of changes
   */
  public MemberPool(
      Eventloop loop,
      Clock clock,
      HostId self,
      MemberProtocol protocol,
      MemberEntry entry,
      ConnectionAllowance allowance,
      Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.self = self;
    this.protocol = protocol;
    this.entry = entry;
    this.allowance = allowance;
    this.listener = listener;
  }

  /**
   * The member.
   *
   * @return its entry
   */
  public MemberEntry entry() {
    return entry;
  }

  /**
   * Takes over a newer entry of the same member.
   *
   * @param newer the entry
   */
  public void update(MemberEntry newer) {
    entry = newer;
  }

  /**
   * The limit on connections.
   *
   * @return the allowance, fed by the member's status
   */
  public ConnectionAllowance allowance() {
    return allowance;
  }

  /**
   * Lends an idle link, preferring one that already holds the session's values.
   *
   * @param values the session's values
   * @return the link, empty if none is idle
   */
  public Optional<MemberLink> lend(Map<String, String> values) {
    Iterator<MemberLink> newestFirst = idle.iterator();
    while (newestFirst.hasNext()) {
      MemberLink link = newestFirst.next();
      if (link.values().equals(values)) {
        newestFirst.remove();
        return Optional.of(link);
      }
    }
    return Optional.ofNullable(idle.pollLast());
  }

  /**
   * Takes a link back. One that can't be used again is dropped.
   *
   * @param link the link
   */
  public void giveBack(MemberLink link) {
    if (!link.usable()) {
      return;
    }
    if (closed || link.busy() || link.state() != TransactionState.IDLE) {
      link.giveUp(LossCause.DISCARDED);
      return;
    }
    link.releasedAt(clock.millis());
    idle.addFirst(link);
    listener.onCapacity(this);
  }

  /**
   * Whether a link is idle.
   *
   * @return true if {@link #lend} finds one
   */
  public boolean hasIdle() {
    return !idle.isEmpty();
  }

  /**
   * Whether a connection may be opened now.
   *
   * @return true within the allowance and outside the delay after a failure
   */
  public boolean mayOpen() {
    return !closed
        && opening == 0
        && clock.millis() >= reopenAt
        && allowance.permits(all.size() + opening, clock.millis());
  }

  /**
   * Connections in use.
   *
   * @return links that are lent
   */
  public int lent() {
    return all.size() - idle.size();
  }

  /**
   * Connections of this host to the member.
   *
   * @return links, idle ones included
   */
  public int size() {
    return all.size();
  }

  /**
   * How long ago the member sent a line.
   *
   * @param now the time
   * @return milliseconds
   */
  public long heardMillis(long now) {
    return now - heardAt;
  }

  /** Opens a connection if allowed; the listener hears of it. */
  public void open() {
    if (mayOpen()) {
      connect();
    }
  }

  private void connect() {
    opening++;
    TcpSocket.connect(
            loop,
            entry.address().socketAddress(),
            CONNECT_TIMEOUT,
            SocketSettings.defaultInstance())
        .whenComplete(
            (socket, e) -> {
              if (e == null) {
                begin(socket);
              } else {
                openFailed(
                    e instanceof ConnectException ? LossCause.REFUSED : LossCause.CONNECT_TIMEOUT);
              }
            });
  }

  private void begin(TcpSocket socket) {
    MemberLink link = new MemberLink(entry.id(), socket, protocol, clock, this::heard, this::ended);
    all.add(link);
    link.start();
    link.exchange(
        protocol.start(entry.service(), self.value(), entry.id()),
        START_TIMEOUT_MILLIS,
        answer -> started(link, answer));
  }

  private void started(MemberLink link, MemberAnswer answer) {
    if (answer instanceof MemberAnswer.Whole whole && whole.failure().isEmpty()) {
      opening--;
      allowance.opened();
      giveBack(link);
      return;
    }
    if (answer instanceof MemberAnswer.Whole whole) {
      ErrorCode code = whole.failure().orElseThrow().code();
      if (code == ErrorCode.TOO_MANY_CONNECTIONS) {
        allowance.refused(clock.millis());
      }
      LOG.atWarn()
          .setMessage("member_refused_connection")
          .addKeyValue("service", entry.service())
          .addKeyValue("member", entry.id().value())
          .addKeyValue("code", code)
          .addKeyValue("own", all.size())
          .log();
      link.giveUp(LossCause.DISCARDED);
      opening--;
      reopenAt = clock.millis() + REOPEN_DELAY_MILLIS;
      return;
    }
    openFailed(((MemberAnswer.Lost) answer).cause());
  }

  private void openFailed(LossCause cause) {
    opening--;
    reopenAt = clock.millis() + REOPEN_DELAY_MILLIS;
    listener.onLost(this, cause);
  }

  private void heard() {
    heardAt = clock.millis();
  }

  /** A member that has gone dark shows only by a connection that can't be made. */
  private void probeIfSilent(List<MemberLink> links, long now) {
    boolean silent =
        now - heardAt >= SILENCE_MILLIS
            && links.stream().anyMatch(link -> link.waitingMillis(now) >= SILENCE_MILLIS);
    if (silent && opening == 0 && now >= reopenAt) {
      connect();
    }
  }

  private void ended(MemberLink link) {
    all.remove(link);
    idle.remove(link);
  }

  /**
   * Notes that an exchange on a lent link was lost.
   *
   * @param cause why
   */
  public void onLost(LossCause cause) {
    listener.onLost(this, cause);
  }

  /**
   * Gives up links whose answer is overdue, and idle ones that others need.
   *
   * @param now the time
   */
  public void sweep(long now) {
    List<MemberLink> links = new ArrayList<>(all);
    links.forEach(link -> link.checkDue(now));
    probeIfSilent(links, now);
    if (allowance.shouldShrink(all.size()) && idle.size() > 1) {
      MemberLink oldest = idle.peekLast();
      if (now - oldest.releasedAt() >= ConnectionAllowance.IDLE_BEFORE_SHRINK_MILLIS) {
        oldest.giveUp(LossCause.DISCARDED);
      }
    }
  }

  /**
   * Closes the links that have been idle for a while: this host needs none any more.
   *
   * @param now the time
   */
  public void dropIdle(long now) {
    new ArrayList<>(idle)
        .stream()
            .filter(l -> now - l.releasedAt() >= ConnectionAllowance.IDLE_BEFORE_SHRINK_MILLIS)
            .forEach(l -> l.giveUp(LossCause.DISCARDED));
  }

  /** Closes all links; statements on them get no answer. */
  public void close() {
    closed = true;
    new ArrayList<>(all).forEach(link -> link.giveUp(LossCause.DISCARDED));
  }
}
