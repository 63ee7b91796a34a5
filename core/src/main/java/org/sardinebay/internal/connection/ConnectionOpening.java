package org.sardinebay.internal.connection;

/**
 * Decides how a statement of a workspace gets a connection to a member at which none of the
 * workspace's connections is idle. Addresses a load of many workspaces on few connections: opening
 * a connection occupies one of the member's slots, about as long as a statement does, and takes a
 * connection from another workspace once the quota is used up. So a statement rather waits where a
 * connection of its workspace becomes idle sooner than another one could be opened.
 *
 * <pre>{@code
 * switch (ConnectionOpening.decide(demand, supply)) { ... }
 * }</pre>
 */
public final class ConnectionOpening {
  /** How many connections to a member may be opened at a time, where workspaces are in force. */
  public static final int MAX_OPENING = 3;

  /** For how long opening a connection occupies a slot of the member, in milliseconds. */
  public static final long SLOT_MILLIS = 12;

  /** Opening a connection takes one round trip to connect and one to start the session. */
  private static final int ROUND_TRIPS = 2;

  /**
   * How many service times a statement waits for the connections of its workspace at most before it
   * may cause another one to be opened. Connections that are not idle by then are held by
   * statements that take longer than usual. Never longer than {@link #STARVED_MILLIS}, because a
   * member that hangs makes the observed service time long.
   */
  private static final int MAX_WAIT_SERVICE_TIMES = 2;

  /**
   * How long a statement of a workspace without connections waits before it may replace one that is
   * awaited by others, in milliseconds. A quarter of the wait that the routes with the shortest
   * timeout, 800 ms, permit.
   */
  private static final long STARVED_MILLIS = 100;

  private ConnectionOpening() {}

  /** How the statement gets a connection. */
  public enum Decision {
    /** A connection is opened. */
    OPEN,
    /** An idle connection of another workspace is closed, and one is opened in its place. */
    REPLACE,
    /** A connection of the workspace becomes idle soon. */
    AWAIT,
    /** Neither the quota nor the idle connections permit another connection now. */
    NONE
  }

  /**
   * The statements that need connections of the workspace.
   *
   * @param waitingBefore the number of the workspace's other statements that wait
   * @param waitedMillis how long the statement has waited
   * @param serviceMillis the mean service time of the service's statements, in milliseconds
   */
  public record Demand(int waitingBefore, long waitedMillis, long serviceMillis) {}

  /**
   * The connections to the member.
   *
   * @param serving the number of the workspace's connections that run a single statement or are
   *     being opened; those held by a transaction may stay in use for long
   * @param mayOpen whether the quota permits another connection
   * @param mayReplace whether an idle connection of another workspace may be replaced
   * @param openMillis how long opening a connection takes, in milliseconds
   */
  public record Supply(int serving, boolean mayOpen, boolean mayReplace, long openMillis) {}

  /**
   * Returns how long opening a connection takes.
   *
   * @param roundTripMillis the round-trip time to the member, in milliseconds
   * @return the time in milliseconds
   */
  public static long openMillis(long roundTripMillis) {
    return SLOT_MILLIS + ROUND_TRIPS * roundTripMillis;
  }

  /**
   * Returns what opening a connection costs in comparison with a member at which a connection is
   * idle: the time that the statement waits, and the slot's time, which other statements wait for.
   *
   * @param roundTripMillis the round-trip time to the member, in milliseconds
   * @return the cost in milliseconds
   */
  public static long costMillis(long roundTripMillis) {
    return openMillis(roundTripMillis) + SLOT_MILLIS;
  }

  /**
   * Whether a statement takes any suitable idle connection, even if a better member would be worth
   * a new one: the new one was expected to be open by then.
   *
   * @param waitedMillis how long the statement has waited, in milliseconds
   * @param serviceMillis the mean service time of the service's statements, in milliseconds
   * @return true if it has waited for long
   */
  public static boolean takesAnyIdle(long waitedMillis, long serviceMillis) {
    return waitedMillis >= Math.min(MAX_WAIT_SERVICE_TIMES * serviceMillis, STARVED_MILLIS);
  }

  /**
   * Decides for one statement.
   *
   * @param demand the statements that need connections of the workspace
   * @param supply the connections to the member
   * @return the decision
   */
  public static Decision decide(Demand demand, Supply supply) {
    if (supply.serving() > 0 && !takesAnyIdle(demand.waitedMillis(), demand.serviceMillis())) {
      long expectedWait = (demand.waitingBefore() + 1) * demand.serviceMillis() / supply.serving();
      if (expectedWait <= supply.openMillis()) {
        return Decision.AWAIT;
      }
    }
    if (supply.mayOpen()) {
      return Decision.OPEN;
    }
    return supply.mayReplace() ? Decision.REPLACE : Decision.NONE;
  }

  /**
   * Whether a statement may replace a connection that statements of another workspace wait for.
   * Keeps workspaces whose connections are always awaited from excluding all others.
   *
   * @param serving the number of connections of the statement's workspace that serve it already
   * @param waitedMillis how long the statement has waited, in milliseconds
   * @return true if the statement's workspace has no connection, and the wait is long
   */
  public static boolean starved(int serving, long waitedMillis) {
    return serving == 0 && waitedMillis >= STARVED_MILLIS;
  }

  /**
   * Whether a statement of a workspace without connections goes before the queue. Under overload
   * the queue reaches a statement only shortly before its deadline, when there is no time left to
   * open a connection, so that workspaces without one would get nothing. At most one connection of
   * a service is opened this way at a time: opening them takes capacity from the others.
   *
   * @param serving the number of connections of the statement's workspace that serve it already
   * @param waitedMillis how long the statement has waited, in milliseconds
   * @param remainingMillis how long it may still wait, in milliseconds
   * @return true if the statement is starved, and there is time to open a connection for it
   */
  public static boolean goesFirst(int serving, long waitedMillis, long remainingMillis) {
    return starved(serving, waitedMillis) && remainingMillis >= STARVED_MILLIS;
  }
}
