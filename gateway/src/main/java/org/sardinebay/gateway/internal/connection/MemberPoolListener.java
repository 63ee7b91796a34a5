package org.sardinebay.gateway.internal.connection;

/** Receives the events of a {@link MemberPool}. */
public interface MemberPoolListener {
  /**
   * Called when a connection became idle, so that waiting statements may be placed.
   *
   * @param pool the pool
   */
  void onConnectionIdle(MemberPool pool);

  /**
   * Called when a connection could not be opened, and by {@link MemberPool#reportLoss}.
   *
   * @param pool the pool
   * @param cause the cause of the loss
   */
  void onLost(MemberPool pool, LossCause cause);
}
