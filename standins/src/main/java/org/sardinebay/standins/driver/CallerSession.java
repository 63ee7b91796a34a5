package org.sardinebay.standins.driver;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Simulates one caller that reads, writes and runs transactions until it is stopped, and switches
 * between proxies. After an uncertain outcome it retries at another proxy with the same idempotency
 * key.
 */
final class CallerSession implements Runnable {
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final long MAX_RETRY_WAIT_MILLIS = 500;
  private static final int MAX_ATTEMPTS = 6;
  private static final int MAX_RECENT_LISTS = 6;
  private static final int PERCENT = 100;
  private static final int PROXY_SWITCH_PERCENT = 50;
  private static final int CONCURRENT_DUPLICATE_PERCENT = 10;
  private static final int REPEATABLE_PERCENT = 25;
  private static final int ROLLBACK_PERCENT = 15;
  private static final int SLOW_TRANSACTION_PERCENT = 20;
  private static final int MAX_THINK_TIME_MILLIS = 200;
  private static final long[] MAX_AGES_MILLIS = {200, 500, 1_000, 2_000};
  private static final String BRANCH_LOST = "session-branch-lost";

  private final String name;
  private final List<String> databases;
  private final Workload workload;
  private final CallerClient client;
  private final LoadBalancer balancer;
  private final ListNames listNames;
  private final History history;
  private final Random random;
  private final Deque<FinalState.ListName> recentLists = new ArrayDeque<>();
  private volatile boolean stopped;
  private String proxy;
  private long nextValueNumber;

  CallerSession(
      String name,
      List<String> databases,
      Workload workload,
      CallerClient client,
      LoadBalancer balancer,
      ListNames listNames,
      History history,
      Random random) {
    this.name = name;
    this.databases = databases;
    this.workload = workload;
    this.client = client;
    this.balancer = balancer;
    this.listNames = listNames;
    this.history = history;
    this.random = random;
    this.proxy = balancer.choose(random);
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      runOperation();
      pause(random.nextInt(workload.maxPauseMillis()));
    }
  }

  private void runOperation() {
    if (chance(PROXY_SWITCH_PERCENT) || !balancer.isReady(proxy)) {
      proxy = balancer.choose(random);
    }
    String database = ListNames.randomElement(databases, random);
    int randomPercent = random.nextInt(PERCENT);
    if (randomPercent < workload.writes()) {
      write(database);
    } else if (randomPercent < workload.writes() + workload.sessionReads()) {
      read(OptionalLong.empty());
    } else if (randomPercent
        < workload.writes() + workload.sessionReads() + workload.boundedStalenessReads()) {
      read(OptionalLong.of(MAX_AGES_MILLIS[random.nextInt(MAX_AGES_MILLIS.length)]));
    } else {
      runTransaction(database);
    }
  }

  private void read(OptionalLong maxAgeMillis) {
    if (recentLists.isEmpty()) {
      return;
    }
    FinalState.ListName list = new ArrayList<>(recentLists).get(random.nextInt(recentLists.size()));
    CallRequest request = CallRequest.read(list.database(), list.key(), maxAgeMillis);
    Attempt attempt = client.call(proxy, request, TIMEOUT_MILLIS);
    history.add(new Operation.Read(name, list.key(), maxAgeMillis, attempt));
    backOffOrReset(attempt);
  }

  private void write(String database) {
    String key =
        random.nextBoolean() ? listNames.own(database, name) : listNames.shared(database, random);
    String value = Keys.value(key, name, nextValueNumber++);
    boolean repeatable = chance(REPEATABLE_PERCENT);
    String idempotencyKey = "key-" + value;
    CallRequest request = CallRequest.append(database, key, value, repeatable, idempotencyKey);
    List<Attempt> attempts = new ArrayList<>();
    CompletableFuture<Attempt> duplicate =
        chance(CONCURRENT_DUPLICATE_PERCENT)
            ? client.send(balancer.chooseOther(random, proxy), request, TIMEOUT_MILLIS)
            : null;
    sendUntilCertain(request, attempts);
    if (duplicate != null) {
      attempts.add(duplicate.join());
    }
    history.add(
        new Operation.Write(name, key, value, repeatable, idempotencyKey, List.copyOf(attempts)));
    addRecentList(database, key);
  }

  private void runTransaction(String database) {
    String pair = listNames.pair(database, random);
    String value = Keys.value(pair, name, nextValueNumber++);
    PairTransaction transaction = new PairTransaction(client, name, proxy, database, pair, value);
    if (transaction.begin()) {
      boolean completed =
          maybeThink(transaction.appendFirst())
              && maybeThink(transaction.appendSecond())
              && transaction.readBack();
      if (completed && !chance(ROLLBACK_PERCENT)) {
        List<Attempt> commits = new ArrayList<>();
        sendUntilCertain(transaction.commit(), commits);
        transaction.recordCommits(commits);
      } else {
        transaction.rollBack();
      }
    } else {
      backOffOrReset(transaction.last());
    }
    history.add(transaction.operation());
    addRecentList(database, Keys.first(pair));
  }

  /** Pauses at random between the statements of a transaction, unless the last one failed. */
  private boolean maybeThink(boolean succeeded) {
    if (succeeded && chance(SLOW_TRANSACTION_PERCENT)) {
      pause(random.nextInt(MAX_THINK_TIME_MILLIS));
    }
    return succeeded;
  }

  /**
   * Sends a request up to 6 times, each retry at another proxy, until it is done or revoked, or no
   * attempt so far can have run.
   */
  private void sendUntilCertain(CallRequest request, List<Attempt> attempts) {
    boolean uncertain = false;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      Attempt attempt = client.call(proxy, request, TIMEOUT_MILLIS);
      attempts.add(attempt);
      uncertain |= attempt.isUncertain();
      backOffOrReset(attempt);
      boolean revoked = attempt.answer().code().equals(Operation.REVOKED);
      if (attempt.isDone() || revoked || !uncertain) {
        return;
      }
      proxy = balancer.chooseOther(random, proxy);
    }
  }

  /**
   * Discards the session token if a promotion dropped the session's position, and after a request
   * that was not run waits for the response's retry delay, at most 500 ms.
   */
  private void backOffOrReset(Attempt attempt) {
    if (attempt.answer().code().equals(BRANCH_LOST)) {
      client.discardToken();
      history.add(new Operation.SessionReset(name));
    }
    if (attempt.outcome() == Outcome.NOT_RUN) {
      pause(Math.min(attempt.answer().retryAfterMillis(), MAX_RETRY_WAIT_MILLIS));
    }
  }

  private void addRecentList(String database, String key) {
    FinalState.ListName list = new FinalState.ListName(database, key);
    recentLists.remove(list);
    recentLists.addLast(list);
    if (recentLists.size() > MAX_RECENT_LISTS) {
      recentLists.removeFirst();
    }
  }

  private boolean chance(int percent) {
    return random.nextInt(PERCENT) < percent;
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
