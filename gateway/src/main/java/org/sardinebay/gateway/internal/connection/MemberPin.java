package org.sardinebay.gateway.internal.connection;

import java.util.Optional;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.Statement;
import org.sardinebay.session.TransactionState;

/**
 * A transaction's connection to a member.
 *
 * @param link the connection
 * @param pool where it goes back to
 * @param asPrimary whether the member was chosen as the primary
 * @param term the primary's term when the transaction began there
 */
public record MemberPin(MemberLink link, MemberPool pool, boolean asPrimary, long term)
    implements Transaction.Pin {
  /** How long rolling back at the member may take, in milliseconds. */
  private static final long ROLLBACK_TIMEOUT_MILLIS = 500;

  @Override
  public void rollBack(MemberProtocol protocol, String id) {
    if (!link.usable() || link.busy() || link.state() == TransactionState.IDLE) {
      pool.giveBack(link);
      return;
    }
    link.exchange(
        protocol.query(id, Optional.empty(), protocol.text(new Statement.Rollback())),
        ROLLBACK_TIMEOUT_MILLIS,
        answer -> pool.giveBack(link));
  }
}
