package org.sardinebay.internal.request;

/**
 * Decides whether a statement is offered to another host before it is queued at this one. Covers
 * callers that all connect to one host, as after a restart of the fleet, and a host that lacks
 * connections to members, or a path to the primary, that other hosts have.
 *
 * <pre>{@code
 * if (OverflowPolicy.shouldOffer(waiting, needsPrimary, millisWithoutPrimary)) { ... }
 * }</pre>
 */
public final class OverflowPolicy {
  /**
   * The queue length from which statements are offered to other hosts. A shorter queue drains
   * within the service time of one statement, which is less than the cost of forwarding.
   */
  public static final int QUEUE_THRESHOLD = 4;

  /**
   * How long this host has to be without a reliable primary before statements that need one are
   * offered to other hosts, in milliseconds. Longer than the delay of a late lease renewal.
   */
  public static final long NO_PRIMARY_THRESHOLD_MILLIS = 300;

  private OverflowPolicy() {}

  /**
   * Decides whether to offer a statement to another host.
   *
   * @param waiting the number of the service's statements queued at this host
   * @param needsPrimary whether only the primary can run the statement
   * @param millisWithoutPrimary for how many milliseconds this host has had no reliable primary, 0
   *     if it has one
   * @return true if the statement should be offered to another host first
   */
  public static boolean shouldOffer(int waiting, boolean needsPrimary, long millisWithoutPrimary) {
    return waiting >= QUEUE_THRESHOLD || mayWaitThere(needsPrimary, millisWithoutPrimary);
  }

  /**
   * Decides whether an offered statement may wait at the other host if that one has a usable
   * primary but no idle connection. Here it would wait in vain. Covers a host that lacks a
   * connection to one member, so that it can't rely on the primary, while other hosts are loaded
   * but can.
   *
   * @param needsPrimary whether only the primary can run the statement
   * @param millisWithoutPrimary for how many milliseconds this host has had no reliable primary, 0
   *     if it has one
   * @return true if the statement may wait there, false if it should run at once or come back
   */
  public static boolean mayWaitThere(boolean needsPrimary, long millisWithoutPrimary) {
    return needsPrimary && millisWithoutPrimary >= NO_PRIMARY_THRESHOLD_MILLIS;
  }
}
