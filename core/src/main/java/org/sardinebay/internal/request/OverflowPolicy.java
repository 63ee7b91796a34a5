package org.sardinebay.internal.request;

/**
 * Decides whether a statement is offered to another host before it waits here. The loads it answers
 * are callers that all come to one host, as after a restart of the fleet, and a host that lacks
 * connections to members, or a way to the primary, that others have.
 *
 * <pre>{@code
 * if (OverflowPolicy.offers(waiting, needsPrimary, unusableMillis)) { ... }
 * }</pre>
 */
public final class OverflowPolicy {
  /**
   * Statements that wait here before further ones are offered elsewhere: a queue this short is over
   * within one statement's work, which is less than what the way by another host costs.
   */
  public static final int WAITING = 4;

  /**
   * How long this host is without a primary to rely upon before statements that need one are
   * offered elsewhere, in milliseconds: longer than a lease's renewal that was late.
   */
  public static final long WITHOUT_PRIMARY_MILLIS = 300;

  private OverflowPolicy() {}

  /**
   * Decides.
   *
   * @param waiting statements of the service that wait at this host
   * @param needsPrimary whether only the primary can run the statement
   * @param unusableMillis for how long no primary could be relied upon here, 0 if one can
   * @return true if another host should be asked first
   */
  public static boolean offers(int waiting, boolean needsPrimary, long unusableMillis) {
    return waiting >= WAITING || (needsPrimary && unusableMillis >= WITHOUT_PRIMARY_MILLIS);
  }
}
