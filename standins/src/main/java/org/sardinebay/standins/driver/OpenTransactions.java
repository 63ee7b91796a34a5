package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** Keeps one transaction per database open at a proxy while that proxy shuts down. */
final class OpenTransactions {
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final long HOLD_MILLIS = 400;
  private static final String SESSION = "holder-";

  private final List<String> databases;
  private final Function<String, CallerClient> clients;
  private final ListNames lists;
  private final History history;
  private final Random random;
  private final AtomicLong nextSessionNumber = new AtomicLong();

  OpenTransactions(
      List<String> databases,
      Function<String, CallerClient> clients,
      ListNames lists,
      History history,
      Random random) {
    this.databases = databases;
    this.clients = clients;
    this.lists = lists;
    this.history = history;
    this.random = random;
  }

  /** A transaction that was begun, and whether its begin and first statement succeeded. */
  record HeldTransaction(PairTransaction transaction, CallerClient client, boolean open) {}

  List<HeldTransaction> open(String proxy) {
    return databases.stream().map(database -> open(proxy, database)).toList();
  }

  /** Waits 400 ms, then runs the remaining statements, commits and records the transactions. */
  void complete(String proxy, List<HeldTransaction> heldTransactions) {
    if (heldTransactions.isEmpty()) {
      return;
    }
    pause();
    for (HeldTransaction heldTransaction : heldTransactions) {
      PairTransaction transaction = heldTransaction.transaction();
      if (heldTransaction.open() && transaction.appendSecond() && transaction.readBack()) {
        Attempt commit = heldTransaction.client().call(proxy, transaction.commit(), TIMEOUT_MILLIS);
        transaction.recordCommits(List.of(commit));
      }
      history.add(transaction.operation());
    }
  }

  private HeldTransaction open(String proxy, String database) {
    String session = SESSION + database + "-" + nextSessionNumber.getAndIncrement();
    String pair = lists.pair(database, random);
    CallerClient client = clients.apply(session);
    PairTransaction transaction =
        new PairTransaction(client, session, proxy, database, pair, Keys.value(pair, session, 0));
    boolean open = transaction.begin() && transaction.appendFirst();
    return new HeldTransaction(transaction, client, open);
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(HOLD_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
