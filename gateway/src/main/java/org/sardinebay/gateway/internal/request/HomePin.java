package org.sardinebay.gateway.internal.request;

import org.sardinebay.gateway.internal.connection.HomeLink;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.TransactionCall;
import org.sardinebay.session.MemberProtocol;

/**
 * A transaction that is open at a home.
 *
 * @param home the home
 * @param number its number there
 */
record HomePin(HomeLink home, long number) implements Transaction.Pin {
  /** How long the home may take to take over that a transaction has ended, in milliseconds. */
  private static final long ROLLBACK_TIMEOUT_MILLIS = 1_000;

  @Override
  public void rollBack(MemberProtocol protocol, String id) {
    TransactionCall end = TransactionCall.newBuilder().setNumber(number).setRollsBack(true).build();
    StatementCall call = StatementCall.newBuilder().setRequestId(id).setTransaction(end).build();
    home.call(call, ROLLBACK_TIMEOUT_MILLIS, false, result -> {});
  }
}
