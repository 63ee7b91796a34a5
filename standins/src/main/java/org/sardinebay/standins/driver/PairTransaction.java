package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A transaction in progress at one proxy that appends one value to both lists of a pair.
 *
 * <pre>{@code
 * PairTransaction transaction = new PairTransaction(client, session, proxy, database, pair, value);
 * if (transaction.begin() && transaction.appendFirst() && transaction.appendSecond()) {
 *   transaction.recordCommits(List.of(client.call(proxy, transaction.commit(), timeoutMillis)));
 * }
 * history.add(transaction.operation());
 * }</pre>
 */
final class PairTransaction {
  private static final long TIMEOUT_MILLIS = 2_000;

  private final CallerClient client;
  private final String session;
  private final String proxy;
  private final String database;
  private final String pair;
  private final String value;
  private final List<Attempt> statements = new ArrayList<>();
  private final List<Attempt> commits = new ArrayList<>();
  private String transaction = "";
  private Optional<List<String>> readBack = Optional.empty();

  PairTransaction(
      CallerClient client,
      String session,
      String proxy,
      String database,
      String pair,
      String value) {
    this.client = client;
    this.session = session;
    this.proxy = proxy;
    this.database = database;
    this.pair = pair;
    this.value = value;
  }

  boolean begin() {
    Attempt begin = client.call(proxy, CallRequest.begin(database), TIMEOUT_MILLIS);
    statements.add(begin);
    transaction = begin.answer().transaction().orElse("");
    return begin.isDone() && !transaction.isEmpty();
  }

  boolean appendFirst() {
    return run(CallKind.STATEMENT, "append " + Keys.first(pair) + " " + value);
  }

  boolean appendSecond() {
    return run(CallKind.STATEMENT, "append " + Keys.second(pair) + " " + value);
  }

  boolean readBack() {
    boolean done = run(CallKind.STATEMENT, "get " + Keys.first(pair));
    if (done) {
      readBack = Optional.of(last().answer().rows());
    }
    return done;
  }

  void rollBack() {
    run(CallKind.ROLLBACK, "");
  }

  /** Returns the commit request; it may be sent repeatedly, as it carries an idempotency key. */
  CallRequest commit() {
    return CallRequest.inTransaction(
        CallKind.COMMIT, database, "", transaction, Optional.of(idempotencyKey()));
  }

  void recordCommits(List<Attempt> attempts) {
    commits.addAll(attempts);
  }

  Attempt last() {
    return statements.get(statements.size() - 1);
  }

  Operation.Transaction operation() {
    return new Operation.Transaction(
        session,
        pair,
        value,
        idempotencyKey(),
        List.copyOf(statements),
        List.copyOf(commits),
        readBack);
  }

  private String idempotencyKey() {
    return "commit-" + value;
  }

  private boolean run(CallKind kind, String statement) {
    CallRequest request =
        CallRequest.inTransaction(kind, database, statement, transaction, Optional.empty());
    statements.add(client.call(proxy, request, TIMEOUT_MILLIS));
    return last().isDone();
  }
}
