package org.sardinebay.gateway.internal.connection;

import java.util.Optional;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.request.StatementRequest;
import org.sardinebay.gateway.internal.request.StatementRunner;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.gateway.internal.version.Services;
import org.sardinebay.internal.connection.SessionAccess;
import org.sardinebay.session.CallerMessage;
import org.sardinebay.session.CallerProtocol;
import org.sardinebay.session.DatabaseRoute;
import org.sardinebay.session.ErrorCode;
import org.sardinebay.session.MemberProtocol;
import org.sardinebay.session.RouteTable;
import org.sardinebay.session.Statement;
import org.sardinebay.session.TransactionState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A caller's session with its state and transaction. Statements that need no member are answered
 * here; the state that they set is applied to the member connection before the next statement runs
 * on it.
 */
public final class CallerSession implements LineChannel.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(CallerSession.class);

  /** Timeout for receiving the rest of a line once its first byte has arrived, in milliseconds. */
  private static final long LINE_TIMEOUT_MILLIS = 10_000;

  /**
   * How long a start message waits for the first configuration, in milliseconds; below the 2 s
   * after which callers give up.
   */
  private static final long CONFIGURATION_TIMEOUT_MILLIS = 1_500;

  private final Services services;
  private final StatementRunner runner;
  private final CallerProtocol protocol;
  private final MemberProtocol memberProtocol;
  private final Clock clock;
  private final SessionRefusals refusals;
  private final Consumer<CallerSession> onEnd;
  private final long openedAt;
  private LineChannel channel;
  private Optional<String> database = Optional.empty();
  private Optional<SessionAccess> access = Optional.empty();
  private final CallerState callerState = new CallerState();
  private Optional<Transaction> transaction = Optional.empty();
  private TransactionState state = TransactionState.IDLE;

  /** Whether the transaction was rolled back for being idle and the caller has not been told. */
  private boolean abortUnreported;

  /** The start message that the caller sent before a configuration was received. */
  private Optional<CallerMessage.Start> pendingStart = Optional.empty();

  /** Whether the caller has lost its access; only the answer to its running statement is due. */
  private boolean withdrawn;

  private long withdrawnAt;
  private boolean withdrawalReported;
  private boolean answering;
  private boolean closing;
  private boolean ended;
  private long partialLineSince = -1;

  /**
   * Creates a session that has not started.
   *
   * @param services the configuration and the services
   * @param runner runs statements on members
   * @param protocol the callers' protocol
   * @param memberProtocol the members' protocol
   * @param clock the clock
   * @param refusals records refused sessions of all callers
   * @param onEnd called once when the session has ended
   */
  public CallerSession(
      Services services,
      StatementRunner runner,
      CallerProtocol protocol,
      MemberProtocol memberProtocol,
      Clock clock,
      SessionRefusals refusals,
      Consumer<CallerSession> onEnd) {
    this.services = services;
    this.runner = runner;
    this.protocol = protocol;
    this.memberProtocol = memberProtocol;
    this.clock = clock;
    this.refusals = refusals;
    this.onEnd = onEnd;
    this.openedAt = clock.millis();
  }

  /**
   * Starts the session on a connection.
   *
   * @param connection the connection
   */
  public void start(LineChannel connection) {
    channel = connection;
    channel.start();
  }

  @Override
  public void onLine(String line) {
    partialLineSince = -1;
    if (answering) {
      refuseAndEnd(ErrorCode.MALFORMED, "a statement was sent before the last one was answered");
      return;
    }
    CallerMessage message = protocol.parse(line);
    if (message instanceof CallerMessage.Query query && database.isPresent()) {
      onQuery(query);
    } else if (message instanceof CallerMessage.Start start && database.isEmpty()) {
      onStart(start);
    } else if (message instanceof CallerMessage.Bye) {
      end();
    } else if (message instanceof CallerMessage.Malformed malformed && database.isPresent()) {
      fail(ErrorCode.MALFORMED, malformed.reason());
    } else {
      refuseAndEnd(ErrorCode.MALFORMED, "a session begins with one start message");
    }
  }

  @Override
  public void onTooLong() {
    refuseAndEnd(ErrorCode.TOO_BIG, "the message is longer than 1 MiB");
  }

  @Override
  public void onClosed() {
    end();
  }

  private void onStart(CallerMessage.Start start) {
    RouteTable table = services.table();
    if (!services.admitsCallers()) {
      pendingStart = Optional.of(start);
      answering = true;
      return;
    }
    Optional<DatabaseRoute> route = table.route(start.database());
    if (route.isEmpty()) {
      refuseAndEnd(ErrorCode.NO_DATABASE, "no route has the name " + start.database());
      return;
    }
    access = SessionAccess.admit(table, route.get(), start.key());
    if (access.isEmpty()) {
      refuseAndEnd(ErrorCode.NOT_AUTHORIZED, "the key is missing or unknown");
      return;
    }
    database = Optional.of(start.database());
    channel.send(readyLine());
  }

  private void onQuery(CallerMessage.Query query) {
    if (refuseWithoutAccess()) {
      return;
    }
    Statement statement = query.statement();
    if (state == TransactionState.FAILED) {
      onQueryAfterFailure(statement);
    } else if (statement instanceof Statement.SetValue set) {
      onStateChanged(callerState.set(set));
    } else if (statement instanceof Statement.Prepare prepare) {
      onStateChanged(callerState.prepare(prepare));
    } else if (statement instanceof Statement.Deallocate deallocate) {
      callerState.deallocate(deallocate);
      succeed();
    } else if (statement instanceof Statement.Begin begin) {
      onBegin(query.id(), begin);
    } else if (statement instanceof Statement.Rollback) {
      onRollback(query.id());
    } else if (statement instanceof Statement.Commit && transaction.isEmpty()) {
      fail(ErrorCode.MALFORMED, "no transaction is open");
    } else {
      run(query.id(), statement);
    }
  }

  private void onStateChanged(boolean accepted) {
    if (accepted) {
      succeed();
    } else {
      fail(ErrorCode.TOO_BIG, "the session's values and prepared statements exceed 1 MiB");
    }
  }

  private void onQueryAfterFailure(Statement statement) {
    if (statement instanceof Statement.Rollback) {
      endTransaction();
      succeed();
    } else if (statement instanceof Statement.Commit) {
      endTransaction();
      fail(ErrorCode.ABORTED, "the transaction had failed and was rolled back");
    } else if (abortUnreported) {
      abortUnreported = false;
      fail(ErrorCode.ABORTED, "rolled back: the transaction rested too long");
    } else {
      fail(ErrorCode.MALFORMED, "the transaction has failed; roll it back");
    }
  }

  private void onBegin(String id, Statement.Begin begin) {
    if (transaction.isPresent()) {
      fail(ErrorCode.MALFORMED, "a transaction is open");
      return;
    }
    Optional<DatabaseRoute> route = services.table().route(database.orElseThrow());
    Optional<ServiceRuntime> service = route.flatMap(services::service);
    if (service.isEmpty()) {
      fail(ErrorCode.NO_DATABASE, "the database is not configured any more");
      return;
    }
    transaction =
        Optional.of(
            new Transaction(id, route.get(), service.get(), begin.readOnly(), clock.millis()));
    state = TransactionState.OPEN;
    runner.onTransactionBegun(workspace());
    succeed();
  }

  private void onRollback(String id) {
    if (transaction.isEmpty()) {
      fail(ErrorCode.MALFORMED, "no transaction is open");
      return;
    }
    endTransaction(id);
    succeed();
  }

  private void run(String id, Statement statement) {
    Optional<DatabaseRoute> route =
        transaction
            .map(Transaction::route)
            .or(() -> services.table().route(database.orElseThrow()));
    Optional<ServiceRuntime> service =
        transaction.map(Transaction::service).or(() -> route.flatMap(services::service));
    if (service.isEmpty()) {
      fail(ErrorCode.NO_DATABASE, "the database is not configured any more");
      return;
    }
    Optional<StatementRequest> request =
        callerState.request(id, statement, memberProtocol, workspace(), clock.millis());
    if (request.isEmpty()) {
      fail(ErrorCode.UNKNOWN_STATEMENT, "no prepared statement has this name");
      return;
    }
    answering = true;
    transaction.ifPresent(t -> t.touch(clock.millis()));
    runner.run(
        request.get(),
        transaction,
        service.get(),
        route.orElseThrow(),
        reply -> onReply(request.get(), reply));
  }

  /**
   * Applies the configuration in force. A session whose caller has lost its access ends at once if
   * it is idle. The answer to a running statement is still sent; an open transaction is rolled back
   * at its member, and the next statement is told so.
   *
   * @return whether the access was withdrawn since the last call, or by this one
   */
  public boolean applyConfiguration() {
    if (!ended && access.isPresent()) {
      switch (access.get().check(services.table())) {
        case WITHDRAWN -> withdraw();
        case IDENTIFIED -> closeWhenIdle();
        case UNCHANGED -> {}
      }
    }
    boolean report = withdrawn && !withdrawalReported;
    withdrawalReported |= report;
    return report;
  }

  private void withdraw() {
    if (withdrawn) {
      return;
    }
    withdrawn = true;
    withdrawnAt = clock.millis();
    closing = true;
    if (answering) {
      return;
    }
    if (transaction.isEmpty()) {
      end();
    } else {
      failTransaction();
    }
  }

  /** Refuses the statement and ends the session if the caller has lost its access. */
  private boolean refuseWithoutAccess() {
    SessionAccess.Verdict verdict = access.orElseThrow().check(services.table());
    closing |= verdict != SessionAccess.Verdict.UNCHANGED;
    if (verdict != SessionAccess.Verdict.WITHDRAWN) {
      return false;
    }
    withdrawn = true;
    if (transaction.isPresent()) {
      endTransaction();
      fail(ErrorCode.ABORTED, "rolled back: the key was withdrawn");
    } else {
      refuseAndEnd(ErrorCode.NOT_AUTHORIZED, "the key was withdrawn");
    }
    return true;
  }

  /**
   * Returns the workspace that the session was admitted for.
   *
   * @return the workspace, empty if the session has none
   */
  public Optional<WorkspaceId> workspace() {
    return access.flatMap(SessionAccess::workspace);
  }

  private void onReply(StatementRequest request, SessionReply reply) {
    answering = false;
    if (request.commits()) {
      endTransaction();
    }
    if (ended) {
      endTransaction();
      return;
    }
    transaction.ifPresent(t -> t.touch(clock.millis()));
    if (withdrawn && transaction.isPresent()) {
      failTransaction();
    }
    if (reply instanceof SessionReply.Failure failure) {
      fail(failure.code(), failure.text());
      return;
    }
    SessionReply.Success success = (SessionReply.Success) reply;
    String[] lines = new String[success.rows().size() + 2];
    for (int i = 0; i < success.rows().size(); i++) {
      lines[i] = protocol.row(success.rows().get(i));
    }
    lines[lines.length - 2] = protocol.done(success.signature());
    lines[lines.length - 1] = readyLine();
    channel.send(lines);
    endIfClosing();
  }

  private void succeed() {
    channel.send(protocol.doneWithoutMember(), readyLine());
    endIfClosing();
  }

  private void fail(ErrorCode code, String text) {
    if (transaction.isPresent()) {
      failTransaction();
    }
    channel.send(protocol.error(code, text), readyLine());
    endIfClosing();
  }

  private void failTransaction() {
    state = TransactionState.FAILED;
    rollBackAtMember(MemberProtocol.INTERNAL_STATEMENT_ID);
  }

  private void endIfClosing() {
    if (closing && state == TransactionState.IDLE) {
      end();
    }
  }

  private String readyLine() {
    return protocol.ready(state, callerState.position());
  }

  private void refuseAndEnd(ErrorCode code, String text) {
    refusals.record(database, workspace(), code, text);
    channel.send(protocol.error(code, text));
    end();
  }

  private void endTransaction() {
    endTransaction(MemberProtocol.INTERNAL_STATEMENT_ID);
  }

  private void endTransaction(String rollbackId) {
    rollBackAtMember(rollbackId);
    transaction = Optional.empty();
    state = TransactionState.IDLE;
    abortUnreported = false;
  }

  private void rollBackAtMember(String id) {
    Optional<Transaction.Pin> pin = transaction.flatMap(Transaction::unpin);
    pin.ifPresent(p -> p.rollBack(memberProtocol, id));
  }

  /**
   * Ends the session as soon as no statement is running and no transaction is open. A session that
   * has not received its start message is answered first, and ends after its next statement.
   */
  public void closeWhenIdle() {
    closing = true;
    if (!answering && database.isPresent() && state == TransactionState.IDLE) {
      end();
    }
  }

  /**
   * Ends the session after its next statement, or after the transaction that the statement belongs
   * to.
   */
  public void closeAfterNext() {
    closing = true;
  }

  /**
   * Whether a transaction is open.
   *
   * @return true from the begin statement until the transaction ends
   */
  public boolean inTransaction() {
    return transaction.isPresent();
  }

  /** Ends the session at once. */
  public void end() {
    if (ended) {
      return;
    }
    ended = true;
    channel.close();
    if (!answering) {
      endTransaction();
    }
    onEnd.accept(this);
  }

  /**
   * Enforces the time limits on incomplete lines, on idle transactions, and on starts that wait for
   * the configuration.
   *
   * @param now the current time by this host's clock, in milliseconds
   */
  public void tick(long now) {
    if (pendingStart.isPresent()) {
      continueStart(now);
    }
    if (ended) {
      return;
    }
    if (!channel.hasPartialLine()) {
      partialLineSince = -1;
    } else if (partialLineSince < 0) {
      partialLineSince = now;
    } else if (now - partialLineSince > LINE_TIMEOUT_MILLIS) {
      refuseAndEnd(ErrorCode.MALFORMED, "the message did not end in time");
      return;
    }
    long limit = services.table().limits().transactionIdleMillis();
    if (withdrawn && !answering && now - withdrawnAt > limit) {
      end();
    } else if (!answering
        && state == TransactionState.OPEN
        && transaction.filter(t -> t.preempted() || t.idleMillis(now) > limit).isPresent()) {
      LOG.atInfo()
          .setMessage("transaction_idle_too_long")
          .addKeyValue("database", database.orElse("-"))
          .addKeyValue("limit_millis", limit)
          .addKeyValue("preempted", transaction.get().preempted())
          .log();
      abortUnreported = true;
      failTransaction();
    }
  }

  private void continueStart(long now) {
    if (services.admitsCallers()) {
      CallerMessage.Start start = pendingStart.get();
      pendingStart = Optional.empty();
      answering = false;
      onStart(start);
    } else if (now - openedAt > CONFIGURATION_TIMEOUT_MILLIS) {
      pendingStart = Optional.empty();
      refuseAndEnd(ErrorCode.BUSY, "not run: this host has no configuration yet; retry in 500 ms");
    }
  }
}
