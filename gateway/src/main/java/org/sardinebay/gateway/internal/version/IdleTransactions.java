package org.sardinebay.gateway.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.sardinebay.MemberId;
import org.sardinebay.gateway.internal.connection.MemberPin;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.internal.request.IdleTransactionPreemption;
import org.sardinebay.session.TransactionState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The transactions that hold this host's connections to the members of a service. Requests the
 * rollback of idle ones while statements wait for their connections; the owner of a transaction (a
 * caller's session, or the connection from the caller's host) rolls it back in its next tick.
 *
 * <pre>{@code
 * transactions.add(transaction, pin);
 * transactions.tick(now, transactionIdleMillis, awaitedMembers);
 * }</pre>
 */
public final class IdleTransactions {
  private static final Logger LOG = LoggerFactory.getLogger(IdleTransactions.class);

  private final List<Held> held = new ArrayList<>();

  private record Held(Transaction transaction, MemberPin pin) {
    private boolean open() {
      return transaction.pin().filter(pin::equals).isPresent();
    }

    private boolean idle() {
      return pin.connection().usable()
          && !pin.connection().busy()
          && pin.connection().state() == TransactionState.OPEN;
    }
  }

  /**
   * Adds a transaction that has begun at a member. It is removed when it is no longer pinned.
   *
   * @param transaction the transaction
   * @param pin the connection that it holds
   */
  public void add(Transaction transaction, MemberPin pin) {
    held.add(new Held(transaction, pin));
  }

  /**
   * Requests the rollback of the transaction that has been idle for longest, if statements wait for
   * its member and no other rollback is outstanding.
   */
  void tick(long now, long transactionIdleMillis, Set<MemberId> awaited) {
    held.removeIf(transaction -> !transaction.open());
    if (awaited.isEmpty() || held.stream().anyMatch(h -> h.transaction.preempted())) {
      return;
    }
    List<IdleTransactionPreemption.Candidate<Held>> candidates =
        held.stream()
            .filter(h -> h.idle() && awaited.contains(h.pin.connection().member()))
            .map(h -> new IdleTransactionPreemption.Candidate<>(h, h.transaction.idleMillis(now)))
            .toList();
    IdleTransactionPreemption.choose(candidates, transactionIdleMillis)
        .ifPresent(chosen -> preempt(chosen, now));
  }

  private static void preempt(Held chosen, long now) {
    LOG.atInfo()
        .setMessage("transaction_preempted")
        .addKeyValue("request", chosen.transaction.beginId())
        .addKeyValue("database", chosen.transaction.route().database())
        .addKeyValue("member", chosen.pin.connection().member().value())
        .addKeyValue("idle_millis", chosen.transaction.idleMillis(now))
        .log();
    chosen.transaction.preempt();
  }
}
