package org.sardinebay.internal.connection;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * How many connections this host may hold at one member. All hosts share the member's limit; what
 * they hold together is known from the member's status, so unused connections can be lent to
 * whichever host needs them.
 *
 * <pre>{@code
 * allowance.reported(connectionsOfAll);
 * boolean open = allowance.permits(own);
 * }</pre>
 */
public final class ConnectionAllowance {
  /** How long a connection that others may need stays idle, in milliseconds. */
  public static final long IDLE_BEFORE_SHRINK_MILLIS = 1_000;

  /** Connections left free beside one for each host, for opens that cross. */
  private static final int RESERVE = 2;

  /** The part of the limit that one host may hold, in per cent: no host starves the others. */
  private static final int LARGEST_SHARE_PERCENT = 45;

  private static final int PERCENT = 100;

  /** Connections that a host may open before the member has told how many there are. */
  private static final int UNREPORTED = 2;

  /** How long a refusal for the member's limit keeps this host from asking again. */
  private static final long REFUSAL_MILLIS = 400;

  private int limit;
  private int hosts = 1;
  private OptionalInt reportedByMember = OptionalInt.empty();
  private int openedSince;
  private OptionalLong refusedAt = OptionalLong.empty();

  /**
   * An allowance.
   *
   * @param limit connections that the member accepts from all hosts together
   */
  public ConnectionAllowance(int limit) {
    this.limit = limit;
  }

  /**
   * Takes over a new limit.
   *
   * @param newLimit connections that the member accepts
   */
  public void limit(int newLimit) {
    limit = newLimit;
  }

  /**
   * Takes over how many hosts share the limit.
   *
   * @param known hosts that are registered, this one included
   */
  public void hosts(int known) {
    hosts = Math.max(1, known);
  }

  /**
   * Takes over how many connections the member counted.
   *
   * @param connections connections of all hosts
   */
  public void reported(int connections) {
    reportedByMember = OptionalInt.of(connections);
    openedSince = 0;
  }

  /** Notes that this host opened a connection after the last report. */
  public void opened() {
    openedSince++;
  }

  /**
   * Notes that the member refused a connection for its limit.
   *
   * @param now the time
   */
  public void refused(long now) {
    refusedAt = OptionalLong.of(now);
  }

  /**
   * Whether one more connection may be opened.
   *
   * @param own connections of this host, those being opened included
   * @param now the time
   * @return true within this host's share
   */
  public boolean permits(int own, long now) {
    if (refusedAt.isPresent() && now - refusedAt.getAsLong() < REFUSAL_MILLIS) {
      return false;
    }
    if (own == 0) {
      return true;
    }
    if (reportedByMember.isEmpty()) {
      return own < UNREPORTED;
    }
    int taken = reportedByMember.getAsInt() + openedSince;
    boolean free = own < fairShare() ? taken < limit : taken < limit - hosts;
    return free && own < Math.max(1, limit * LARGEST_SHARE_PERCENT / PERCENT);
  }

  private int fairShare() {
    return Math.max(1, (limit - RESERVE) / hosts);
  }

  /**
   * Whether only the last report of the member keeps this host from opening a connection.
   *
   * @param own connections of this host
   * @param now the time
   * @return true if a fresh report could permit one
   */
  public boolean waitsForReport(int own, long now) {
    return own > 0 && !permits(own, now);
  }

  /**
   * Whether idle connections should be given up for others.
   *
   * @param own connections of this host
   * @return true if the member is nearly full and this host holds more than one
   */
  public boolean shouldShrink(int own) {
    return own > 1 && own > fairShare() && reportedByMember.orElse(0) >= limit - hosts;
  }
}
