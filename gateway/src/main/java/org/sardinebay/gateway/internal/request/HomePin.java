package org.sardinebay.gateway.internal.request;

import org.sardinebay.gateway.internal.connection.HomeClient;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.net.peer.generated.StatementCall;
import org.sardinebay.net.peer.generated.TransactionCall;
import org.sardinebay.session.MemberProtocol;

/**
 * Pins a transaction to the home where it is open.
 *
 * @param home the home
 * @param number the transaction's number on the home, chosen by this host
 */
record HomePin(HomeClient home, long number) implements Transaction.Pin {
  /** Timeout of the call that rolls a transaction back on its home, in milliseconds. */
  private static final long ROLLBACK_TIMEOUT_MILLIS = 1_000;

  @Override
  public void rollBack(MemberProtocol protocol, String id) {
    TransactionCall rollback =
        TransactionCall.newBuilder().setNumber(number).setRollsBack(true).build();
    StatementCall call =
        StatementCall.newBuilder().setRequestId(id).setTransaction(rollback).build();
    home.call(call, ROLLBACK_TIMEOUT_MILLIS, false, result -> {});
  }
}
