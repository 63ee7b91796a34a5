package org.sardinebay.internal.connection;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Limits how many connections this host may hold to one member. All hosts share the member's limit.
 * Since the member's status reports the total number of connections, a host may use connections
 * that other hosts leave unused.
 *
 * <pre>{@code
 * quota.onTotalReported(connectionsOfAll);
 * boolean open = quota.mayOpen(own, now);
 * }</pre>
 */
public final class ConnectionQuota {
  /**
   * How long a connection stays idle before it is closed so that other hosts can open one, in
   * milliseconds.
   */
  public static final long IDLE_BEFORE_SHRINK_MILLIS = 1_000;

  /**
   * How long a connection of a workspace stays idle while few connections remain, in milliseconds.
   * A home with 28 statements a second and 25 connections replaces the least recently used one
   * after about this time.
   */
  private static final long WORKSPACE_IDLE_MILLIS = 5_000;

  /**
   * Connections left out of the fair shares, for connections that hosts open concurrently. Beyond
   * its fair share, a host also leaves one connection free for each host.
   */
  private static final int RESERVE = 2;

  /**
   * The maximum share of the limit that one host may hold, in percent, so that no host starves the
   * others.
   */
  private static final int MAX_SHARE_PERCENT = 45;

  private static final int PERCENT = 100;

  /** The number of connections that a host may open before the member has reported its total. */
  private static final int MAX_BEFORE_FIRST_REPORT = 2;

  /**
   * How long this host opens no connection after the member refused one because its limit was
   * reached, in milliseconds.
   */
  private static final long REFUSAL_BACKOFF_MILLIS = 400;

  private int limit;
  private int hosts = 1;
  private OptionalInt reportedByMember = OptionalInt.empty();
  private int openedSinceReport;
  private int closedSinceReport;
  private OptionalLong refusedAt = OptionalLong.empty();

  /**
   * Creates a quota.
   *
   * @param limit the number of connections that the member accepts from all hosts together
   */
  public ConnectionQuota(int limit) {
    this.limit = limit;
  }

  /**
   * Sets a new limit.
   *
   * @param newLimit the number of connections that the member accepts from all hosts together
   */
  public void limit(int newLimit) {
    limit = newLimit;
  }

  /**
   * Sets the number of hosts that share the limit.
   *
   * @param registered the number of registered hosts, including this one
   */
  public void hosts(int registered) {
    hosts = Math.max(1, registered);
  }

  /**
   * Records the number of connections that the member reported.
   *
   * @param connections the number of connections of all hosts
   */
  public void onTotalReported(int connections) {
    reportedByMember = OptionalInt.of(connections);
    openedSinceReport = 0;
    closedSinceReport = 0;
  }

  /** Records that this host opened a connection after the last report. */
  public void opened() {
    openedSinceReport++;
  }

  /** Records that this host closed a connection after the last report, for other connections. */
  public void closed() {
    closedSinceReport++;
  }

  /**
   * Records that the member refused a connection because its limit was reached.
   *
   * @param now the current time in milliseconds
   */
  public void refused(long now) {
    refusedAt = OptionalLong.of(now);
  }

  /**
   * Whether another connection may be opened.
   *
   * @param own the number of connections of this host, including those being opened
   * @param now the current time in milliseconds
   * @return true if no refusal is recent, and either this host has no connection yet or another one
   *     stays within the member's limit and this host's maximum share
   */
  public boolean mayOpen(int own, long now) {
    return mayOpen(own, 0, now);
  }

  /**
   * Whether another connection may be opened while others are being opened.
   *
   * @param own the number of connections of this host, including those being opened
   * @param opening the number of connections being opened
   * @param now the current time in milliseconds
   * @return as {@link #mayOpen(int, long)}, with those being opened counted towards the limit
   */
  public boolean mayOpen(int own, int opening, long now) {
    if (refusedAt.isPresent() && now - refusedAt.getAsLong() < REFUSAL_BACKOFF_MILLIS) {
      return false;
    }
    if (own == 0) {
      return true;
    }
    if (reportedByMember.isEmpty()) {
      return own < MAX_BEFORE_FIRST_REPORT;
    }
    int openConnections =
        reportedByMember.getAsInt() + openedSinceReport + opening - closedSinceReport;
    boolean withinLimit =
        own < fairShare() ? openConnections < limit : openConnections < limit - hosts;
    return withinLimit && own < Math.max(1, limit * MAX_SHARE_PERCENT / PERCENT);
  }

  private int fairShare() {
    return Math.max(1, (limit - RESERVE) / hosts);
  }

  /**
   * Whether a new report of the member could permit a connection that is not permitted now.
   *
   * @param own the number of connections of this host
   * @param now the current time in milliseconds
   * @return true if it is worth requesting a new report
   */
  public boolean needsFreshStatus(int own, long now) {
    return own > 0 && !mayOpen(own, now);
  }

  /**
   * Whether this host should close idle connections so that other hosts can open some.
   *
   * @param own the number of connections of this host
   * @return true if the member's limit is nearly reached and this host holds more than its fair
   *     share
   */
  public boolean shouldShrink(int own) {
    return own > 1 && own > fairShare() && remaining() <= hosts;
  }

  private int remaining() {
    return limit - (reportedByMember.orElse(0) - closedSinceReport);
  }

  /**
   * Returns how long a connection may stay idle before it is closed for other hosts: without
   * workspaces, for a short time while {@link #shouldShrink}. With workspaces, connections that one
   * host keeps for rare workspaces are better used by a host that serves many statements, so each
   * host keeps those that it has used recently, and not a fixed share.
   *
   * @param own the number of connections of this host
   * @param ofWorkspaces whether connections are bound to workspaces
   * @return the time in milliseconds, empty while there are enough connections for all hosts
   */
  public OptionalLong maxIdleMillis(int own, boolean ofWorkspaces) {
    if (own <= 1 || remaining() > hosts) {
      return OptionalLong.empty();
    }
    if (!ofWorkspaces) {
      return shouldShrink(own) ? OptionalLong.of(IDLE_BEFORE_SHRINK_MILLIS) : OptionalLong.empty();
    }
    boolean othersLackConnections = own > fairShare() && remaining() <= RESERVE;
    return OptionalLong.of(
        othersLackConnections ? IDLE_BEFORE_SHRINK_MILLIS : WORKSPACE_IDLE_MILLIS);
  }
}
