package org.sardinebay.internal.connection;

/**
 * How many connections this host may hold at one member. All hosts share the member's limit; what
 * they hold together is known from the member's status, so unused connections can be lent to
 * whichever host needs them.
 *
 * <pre>{@code
 * allowance.reported(connectionsOfAll, ownAtThatTime);
 * boolean open = allowance.permits(own);
 * }</pre>
 */
public final class ConnectionAllowance {
  /** How long a connection that others may need stays idle, in milliseconds. */
  public static final long IDLE_BEFORE_SHRINK_MILLIS = 1_000;

  /** Connections left free for hosts that start, and for opens that cross. */
  private static final int RESERVE = 3;

  /** The part of the limit that one host may hold, in per cent: no host starves the others. */
  private static final int LARGEST_SHARE_PERCENT = 45;

  private static final int PERCENT = 100;

  private int limit;
  private int reportedByMember;
  private int openedSince;

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
   * Takes over how many connections the member counted.
   *
   * @param connections connections of all hosts
   */
  public void reported(int connections) {
    reportedByMember = connections;
    openedSince = 0;
  }

  /** Notes that this host opened a connection after the last report. */
  public void opened() {
    openedSince++;
  }

  /** Notes that the member refused a connection for its limit. */
  public void refused() {
    reportedByMember = limit;
  }

  /**
   * Whether one more connection may be opened.
   *
   * @param own connections of this host, those being opened included
   * @return true within this host's share
   */
  public boolean permits(int own) {
    if (own == 0) {
      return true;
    }
    return own < Math.max(1, limit * LARGEST_SHARE_PERCENT / PERCENT)
        && reportedByMember + openedSince < limit - RESERVE;
  }

  /**
   * Whether idle connections should be given up for others.
   *
   * @param own connections of this host
   * @return true if the member is nearly full and this host holds more than one
   */
  public boolean shouldShrink(int own) {
    return own > 1 && reportedByMember >= limit - RESERVE;
  }
}
