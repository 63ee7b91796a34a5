package org.sardinebay.internal.version;

/**
 * The number of connections that this proxy may open to each member of a database. The connection
 * limit is divided equally among the failure domains with homes. Within a domain, the home gets
 * most of the share and the proxy with the second rank gets a reserve, so that it can take over
 * immediately.
 *
 * <pre>{@code
 * share.assign(ConnectionShare.quota(20, 3, 0), now);
 * int allowed = share.allowed(now);
 * }</pre>
 *
 * <p>When homes change, a proxy uses the smaller of its old and new quota until the other proxies
 * are guaranteed to have drained their connections, so that the fleet stays within the limit.
 */
public final class ConnectionShare {
  /**
   * How long after a change other proxies may keep their former connections, in milliseconds: the
   * time until a configuration is in effect everywhere, plus the endpoint's idle timeout.
   */
  public static final long HANDOVER_MILLIS = 20_000;

  private static final int RANK_HOME = 0;
  private static final int RANK_RESERVE = 1;
  private static final int RESERVE_DIVISOR = 3;

  private int current;
  private int previous;
  private long changedAt = Long.MIN_VALUE;
  private boolean assigned;

  /**
   * Computes the quota of a rank.
   *
   * @param limit the member's connection limit
   * @param domains how many failure domains have homes
   * @param rank the proxy's rank in its failure domain, 0 for the home
   * @return how many connections the proxy may open to each member
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
   * Assigns the quota computed from a new view of the fleet. The first quota takes effect
   * immediately: a proxy that has just started replaces its previous process, whose connections the
   * members close as idle.
   *
   * @param quota the quota
   * @param now the current time in milliseconds
   */
  public void assign(int quota, long now) {
    if (!assigned) {
      assigned = true;
      current = quota;
      previous = quota;
      return;
    }
    if (quota == current) {
      return;
    }
    previous = allowed(now);
    current = quota;
    changedAt = now;
  }

  /**
   * Returns the most recently assigned quota.
   *
   * @return the quota, whether it is in effect yet or not; 0 before the first assignment
   */
  public int quota() {
    return current;
  }

  /**
   * Returns how many connections may be open now.
   *
   * @param now the current time in milliseconds
   * @return the number for each member
   */
  public int allowed(long now) {
    boolean settled = changedAt == Long.MIN_VALUE || now - changedAt >= HANDOVER_MILLIS;
    return settled ? current : Math.min(previous, current);
  }
}
