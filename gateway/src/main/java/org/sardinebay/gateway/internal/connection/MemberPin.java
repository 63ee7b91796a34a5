package org.sardinebay.gateway.internal.connection;

import java.util.Optional;
import org.sardinebay.internal.connection.AnswerKind;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.Statement;
import org.sardinebay.session.TransactionState;

/**
 * Pins a transaction to a member connection of this host.
 *
 * @param connection the connection
 * @param pool the pool to release the connection to
 * @param asPrimary whether the member was chosen as the primary
 * @param term the primary's term when the transaction began on the member
 */
public record MemberPin(MemberConnection connection, MemberPool pool, boolean asPrimary, long term)
    implements Transaction.Pin {
  /** Timeout of the rollback on the member, in milliseconds. */
  private static final long ROLLBACK_TIMEOUT_MILLIS = 500;

  @Override
  public void rollBack(MemberProtocol protocol, String id) {
    if (!connection.usable()
        || connection.busy()
        || connection.state() == TransactionState.IDLE
        || !connection.errorsProven()) {
      pool.release(connection);
      return;
    }
    connection.exchange(
        protocol.query(id, Optional.empty(), protocol.text(new Statement.Rollback())),
        AnswerKind.ROLLBACK,
        ROLLBACK_TIMEOUT_MILLIS,
        answer -> pool.release(connection));
  }
}
