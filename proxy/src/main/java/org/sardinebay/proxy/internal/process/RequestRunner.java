package org.sardinebay.proxy.internal.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;
import org.sardinebay.Answer;
import org.sardinebay.CallerRequest;
import org.sardinebay.Failure;
import org.sardinebay.Position;
import org.sardinebay.RequestKind;
import org.sardinebay.SessionToken;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.StatementKind;
import org.sardinebay.internal.process.InvariantName;
import org.sardinebay.internal.process.SessionTokenCodec;
import org.sardinebay.internal.request.ReadNeed;
import org.sardinebay.internal.request.RequestDeadline;
import org.sardinebay.internal.request.WriteMachine;
import org.sardinebay.proxy.internal.connection.OpenTransaction;
import org.sardinebay.proxy.internal.connection.TransactionTable;
import org.sardinebay.proxy.internal.request.AnswerWriter;
import org.sardinebay.proxy.internal.request.Execution;
import org.sardinebay.proxy.internal.request.IdempotencyKeyResolver;
import org.sardinebay.proxy.internal.request.ReadFlow;
import org.sardinebay.proxy.internal.request.TransactionFlow;
import org.sardinebay.proxy.internal.request.WriteFlow;
import org.sardinebay.proxy.internal.version.DatabaseContext;

/**
 * Runs requests on this proxy, as a home of their database.
 *
 * <pre>{@code
 * runner.run(request, false).thenAccept(json -> ...);
 * }</pre>
 */
public final class RequestRunner {
  private final ProxyRuntime runtime;
  private final Fleet fleet;
  private final TransactionTable transactions;
  private final SessionTokenCodec tokens;
  private final Supplier<String> names;
  private final RandomGenerator random;

  /**
   * A runner.
   *
   * @param runtime the proxy
   * @param fleet the databases and their homes
   * @param transactions the transactions open here
   * @param tokens reads and writes session tokens
   * @param names makes unique texts
   * @param random spreads the times to come back
   */
  public RequestRunner(
      ProxyRuntime runtime,
      Fleet fleet,
      TransactionTable transactions,
      SessionTokenCodec tokens,
      Supplier<String> names,
      RandomGenerator random) {
    this.runtime = runtime;
    this.fleet = fleet;
    this.transactions = transactions;
    this.tokens = tokens;
    this.names = names;
    this.random = random;
  }

  /**
   * Runs one request.
   *
   * @param request the request
   * @param inDoubt whether an earlier attempt at another proxy may have run it
   * @return the answer as the caller sees it
   */
  public CompletableFuture<ObjectNode> run(CallerRequest request, boolean inDoubt) {
    Optional<SessionToken> token =
        request
            .token()
            .map(text -> tokens.decode(text, request.caller()))
            .orElse(Optional.of(SessionToken.EMPTY));
    if (token.isEmpty()) {
      return answered(request, new Answer.Refused(new Failure.TokenInvalid()));
    }
    if (!token.get().holds(request.database())) {
      Failure failure = new Failure.TokenFull(SessionToken.MAX_DATABASES);
      return answered(request, new Answer.Refused(failure));
    }
    Optional<DatabaseContext> shard = fleet.context(request.database());
    if (shard.isEmpty()) {
      return answered(request, fleet.answerWithoutContext(request.database()));
    }
    shard.get().onRequest();
    runtime.retries().onRequest();
    return execute(request, shard.get(), token.get(), inDoubt)
        .thenApply(answer -> write(request, token.get(), spread(answer)));
  }

  private CompletableFuture<Answer> execute(
      CallerRequest request, DatabaseContext shard, SessionToken token, boolean inDoubt) {
    Execution execution = execution(request);
    Optional<Position> session = token.position(request.database());
    return switch (request.kind()) {
      case READ ->
          new ReadFlow(runtime, shard, execution, new ReadNeed(session, maxAge(request))).start();
      case WRITE -> write(shard, execution, inDoubt);
      case BEGIN -> transactionFlow(shard).begin(execution, session);
      case STATEMENT, COMMIT, ROLLBACK -> inTransaction(request, shard, execution);
    };
  }

  private CompletableFuture<Answer> write(
      DatabaseContext shard, Execution execution, boolean inDoubt) {
    return new WriteFlow(runtime, shard, execution, inDoubt)
        .start()
        .thenCompose(
            answer ->
                revoked(answer)
                    ? IdempotencyKeyResolver.resolve(runtime, shard, execution)
                    : CompletableFuture.completedFuture(answer));
  }

  private static boolean revoked(Answer answer) {
    return answer instanceof Answer.NotRun notRun && notRun.failure() instanceof Failure.Revoked;
  }

  private CompletableFuture<Answer> inTransaction(
      CallerRequest request, DatabaseContext shard, Execution execution) {
    Optional<OpenTransaction> transaction =
        transactions.find(
            request.transaction().orElseThrow(), request.caller(), request.database());
    if (transaction.isEmpty()) {
      boolean commitInDoubt =
          request.kind() == RequestKind.COMMIT && request.idempotencyKey().isPresent();
      return commitInDoubt
          ? IdempotencyKeyResolver.resolve(runtime, shard, execution)
          : CompletableFuture.completedFuture(new Answer.Refused(new Failure.UnknownTransaction()));
    }
    TransactionFlow flow = transactionFlow(shard);
    return switch (request.kind()) {
      case COMMIT -> flow.commit(transaction.get(), execution);
      case ROLLBACK -> flow.rollback(transaction.get(), execution);
      default -> flow.statement(transaction.get(), execution);
    };
  }

  private TransactionFlow transactionFlow(DatabaseContext shard) {
    return new TransactionFlow(runtime, shard, transactions, names);
  }

  private Execution execution(CallerRequest request) {
    StatementKind kind = StatementKind.valueOf(request.kind().name());
    boolean keyed = request.kind() == RequestKind.WRITE || request.kind() == RequestKind.COMMIT;
    Optional<String> callerKey =
        keyed ? Optional.of(request.idempotencyKey().orElseGet(names)) : Optional.empty();
    return new Execution(
        request.caller(),
        kind,
        request.statement(),
        callerKey.map(key -> scopedKey(request, key)),
        callerKey,
        new RequestDeadline(runtime.clock().millis() + request.timeoutMillis()));
  }

  private static IdempotencyKey scopedKey(CallerRequest request, String key) {
    CRC32C hash = new CRC32C();
    hash.update(request.kind().name().getBytes(StandardCharsets.UTF_8));
    hash.update(request.statement().getBytes(StandardCharsets.UTF_8));
    return new IdempotencyKey(
        request.caller().value().length() + ":" + request.caller() + ":" + key,
        Long.toHexString(hash.getValue()));
  }

  private OptionalLong maxAge(CallerRequest request) {
    if (request.maxAgeMillis().isEmpty()) {
      return request.maxAgeMillis();
    }
    long allowed = fleet.maxStalenessMillis(request.database(), request.caller());
    return OptionalLong.of(Math.min(allowed, request.maxAgeMillis().getAsLong()));
  }

  private Answer spread(Answer answer) {
    if (answer instanceof Answer.NotRun notRun) {
      long base = Math.max(1, notRun.retryAfterMillis());
      return new Answer.NotRun(notRun.failure(), base + random.nextLong(base));
    }
    return answer;
  }

  private ObjectNode write(CallerRequest request, SessionToken token, Answer answer) {
    Optional<Position> position =
        answer instanceof Answer.Done done ? done.position() : Optional.empty();
    Optional<String> next = position.map(reached -> advance(request, token, reached));
    return AnswerWriter.write(request.requestId(), answer, next);
  }

  private String advance(CallerRequest request, SessionToken token, Position reached) {
    Position before = token.position(request.database()).orElse(Position.ZERO);
    SessionToken next = token.advance(request.database(), reached);
    runtime
        .invariants()
        .check(
            next.position(request.database()).orElseThrow().index() >= before.index(),
            InvariantName.SESSION_NEVER_MOVES_BACK,
            before + " to " + reached);
    return tokens.encode(next, request.caller());
  }

  private CompletableFuture<ObjectNode> answered(CallerRequest request, Answer answer) {
    return CompletableFuture.completedFuture(
        AnswerWriter.write(request.requestId(), spread(answer), Optional.empty()));
  }

  /**
   * An answer for a request that is not run here.
   *
   * @param requestId the request's name
   * @param failure why
   * @return a not-run answer with the time to come back
   */
  public ObjectNode notRun(String requestId, Failure failure) {
    Answer answer = new Answer.NotRun(failure, WriteMachine.RETRY_AFTER_PROMOTION_MILLIS);
    return AnswerWriter.write(requestId, spread(answer), Optional.empty());
  }
}
