package org.sardinebay.internal.version;

/**
 * How many connections to each member of a database this proxy may hold. Each failure domain with
 * homes has an equal part of the limit; its home holds most of it and the second in rank a reserve,
 * so that it can take over at once.
 *
 * <pre>{@code
 * share.assign(ConnectionShare.quota(20, 3, 0), now);
 * int allowed = share.allowed(now);
 * }</pre>
 *
 * <p>Through a change of homes a proxy keeps to the smaller of its old and new quota until the
 * others have certainly drained, so that the fleet stays within the limit.
 */
public final class ConnectionShare {
  /**
   * How long after a change the others may still hold their former connections, in milliseconds:
   * the time for a configuration to be in force everywhere and the endpoint's idle limit.
   */
  public static final long HANDOVER_MILLIS = 20_000;

  private static final int RANK_HOME = 0;
  private static final int RANK_RESERVE = 1;
  private static final int RESERVE_DIVISOR = 3;

  private int current;
  private int former;
  private long changedAt = Long.MIN_VALUE;
  private boolean assigned;

  /**
   * The quota of a rank.
   *
   * @param limit the member's connection limit
   * @param domains how many failure domains have homes
   * @param rank the proxy's rank in its failure domain, 0 for the home
   * @return how many connections it may hold to each member
   */
  public static int quota(int limit, int domains, int rank) {
    int domainPart = limit / Math.max(1, domains);
    int reserve = domainPart / RESERVE_DIVISOR;
    return switch (rank) {
      case RANK_HOME -> domainPart - reserve;
      case RANK_RESERVE -> reserve;
      default -> 0;
    };
  }

  /**
   * Assigns a quota by a new view of the fleet. The first one holds at once: a proxy that has just
   * started takes the place of its former self, whose connections the members close as idle.
   *
   * @param quota the quota
   * @param now the time
   */
  public void assign(int quota, long now) {
    if (!assigned) {
      assigned = true;
      current = quota;
      former = quota;
      return;
    }
    if (quota == current) {
      return;
    }
    former = allowed(now);
    current = quota;
    changedAt = now;
  }

  /**
   * The quota assigned last.
   *
   * @return the quota, whether it is in force yet or not; 0 before any
   */
  public int quota() {
    return current;
  }

  /**
   * How many connections may be held now.
   *
   * @param now the time
   * @return the number for each member
   */
  public int allowed(long now) {
    boolean settled = changedAt == Long.MIN_VALUE || now - changedAt >= HANDOVER_MILLIS;
    return settled ? current : Math.min(former, current);
  }
}
