package org.sardinebay.proxy.internal.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
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
import org.sardinebay.internal.request.ReadRequirement;
import org.sardinebay.internal.request.RequestDeadline;
import org.sardinebay.internal.request.WriteStateMachine;
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
 * Runs requests on this proxy. A request for a database without a context here is answered without
 * being run.
 *
 * <pre>{@code
 * runner.run(request, false).thenAccept(json -> ...);
 * }</pre>
 */
public final class RequestRunner {
  private final ProxyRuntime runtime;
  private final DatabaseRegistry databaseRegistry;
  private final TransactionTable transactions;
  private final SessionTokenCodec tokens;
  private final Supplier<String> idGenerator;
  private final RandomGenerator random;

  /**
   * Creates a runner.
   *
   * @param runtime the shared services of the proxy
   * @param databaseRegistry the databases and their homes
   * @param transactions the transactions open on this proxy
   * @param tokens decodes and encodes session tokens
   * @param idGenerator generates unique ids
   * @param random adds jitter to retry delays
   */
  public RequestRunner(
      ProxyRuntime runtime,
      DatabaseRegistry databaseRegistry,
      TransactionTable transactions,
      SessionTokenCodec tokens,
      Supplier<String> idGenerator,
      RandomGenerator random) {
    this.runtime = runtime;
    this.databaseRegistry = databaseRegistry;
    this.transactions = transactions;
    this.tokens = tokens;
    this.idGenerator = idGenerator;
    this.random = random;
  }

  /**
   * Runs one request.
   *
   * @param request the request
   * @param inDoubt whether an earlier attempt through another proxy may have run it
   * @return completes with the answer to the caller
   */
  public CompletableFuture<ObjectNode> run(CallerRequest request, boolean inDoubt) {
    Optional<SessionToken> token =
        request
            .token()
            .map(text -> tokens.decode(text, request.caller()))
            .orElse(Optional.of(SessionToken.EMPTY));
    if (token.isEmpty()) {
      return completed(request, new Answer.Refused(new Failure.TokenInvalid()));
    }
    if (!token.get().hasRoomFor(request.database())) {
      Failure failure = new Failure.TokenFull(SessionToken.MAX_DATABASES);
      return completed(request, new Answer.Refused(failure));
    }
    Optional<DatabaseContext> context = databaseRegistry.context(request.database());
    if (context.isEmpty()) {
      return completed(request, databaseRegistry.answerWithoutContext(request.database()));
    }
    context.get().onRequest();
    runtime.retries().onRequest();
    return execute(request, context.get(), token.get(), inDoubt)
        .thenApply(answer -> toJson(request, token.get(), withJitter(answer)));
  }

  private CompletableFuture<Answer> execute(
      CallerRequest request, DatabaseContext context, SessionToken token, boolean inDoubt) {
    Execution execution = execution(request);
    Optional<Position> session = token.position(request.database());
    return switch (request.kind()) {
      case READ ->
          new ReadFlow(
                  runtime, context, execution, new ReadRequirement(session, allowedAge(request)))
              .start();
      case WRITE -> runWrite(context, execution, inDoubt);
      case BEGIN -> transactionFlow(context).begin(execution, session);
      case STATEMENT, COMMIT, ROLLBACK -> runInTransaction(request, context, execution);
    };
  }

  private CompletableFuture<Answer> runWrite(
      DatabaseContext context, Execution execution, boolean inDoubt) {
    return new WriteFlow(runtime, context, execution, inDoubt)
        .start()
        .thenCompose(
            answer ->
                revoked(answer)
                    ? IdempotencyKeyResolver.resolve(runtime, context, execution)
                    : CompletableFuture.completedFuture(answer));
  }

  private static boolean revoked(Answer answer) {
    return answer instanceof Answer.NotRun notRun && notRun.failure() instanceof Failure.Revoked;
  }

  private CompletableFuture<Answer> runInTransaction(
      CallerRequest request, DatabaseContext context, Execution execution) {
    Optional<OpenTransaction> transaction =
        transactions.find(
            request.transaction().orElseThrow(), request.caller(), request.database());
    if (transaction.isEmpty()) {
      boolean commitInDoubt =
          request.kind() == RequestKind.COMMIT && request.idempotencyKey().isPresent();
      return commitInDoubt
          ? IdempotencyKeyResolver.resolve(runtime, context, execution)
          : CompletableFuture.completedFuture(new Answer.Refused(new Failure.UnknownTransaction()));
    }
    TransactionFlow flow = transactionFlow(context);
    return switch (request.kind()) {
      case COMMIT -> flow.commit(transaction.get(), execution);
      case ROLLBACK -> flow.rollback(transaction.get(), execution);
      default -> flow.statement(transaction.get(), execution);
    };
  }

  private TransactionFlow transactionFlow(DatabaseContext context) {
    return new TransactionFlow(runtime, context, transactions, idGenerator);
  }

  private Execution execution(CallerRequest request) {
    StatementKind kind = StatementKind.valueOf(request.kind().name());
    boolean needsKey = request.kind() == RequestKind.WRITE || request.kind() == RequestKind.COMMIT;
    Optional<String> callerKey =
        needsKey ? Optional.of(request.idempotencyKey().orElseGet(idGenerator)) : Optional.empty();
    return new Execution(
        request.caller(),
        kind,
        request.statement(),
        callerKey.map(key -> IdempotencyKey.of(request, key)),
        callerKey,
        new RequestDeadline(runtime.clock().millis() + request.timeoutMillis()));
  }

  private OptionalLong allowedAge(CallerRequest request) {
    if (request.maxAgeMillis().isEmpty()) {
      return request.maxAgeMillis();
    }
    long allowed = databaseRegistry.maxStalenessMillis(request.database(), request.caller());
    return OptionalLong.of(Math.min(allowed, request.maxAgeMillis().getAsLong()));
  }

  private Answer withJitter(Answer answer) {
    if (answer instanceof Answer.NotRun notRun) {
      long base = Math.max(1, notRun.retryAfterMillis());
      return new Answer.NotRun(notRun.failure(), base + random.nextLong(base));
    }
    return answer;
  }

  private ObjectNode toJson(CallerRequest request, SessionToken token, Answer answer) {
    Optional<Position> position =
        answer instanceof Answer.Done done ? done.position() : Optional.empty();
    Optional<String> next = position.map(reached -> advanceToken(request, token, reached));
    return AnswerWriter.write(request.requestId(), answer, next);
  }

  private String advanceToken(CallerRequest request, SessionToken token, Position reached) {
    Position previous = token.position(request.database()).orElse(Position.ZERO);
    SessionToken next = token.advance(request.database(), reached);
    runtime
        .invariantReporter()
        .check(
            next.position(request.database()).orElseThrow().index() >= previous.index(),
            InvariantName.SESSION_NEVER_MOVES_BACK,
            previous + " to " + reached);
    return tokens.encode(next, request.caller());
  }

  private CompletableFuture<ObjectNode> completed(CallerRequest request, Answer answer) {
    return CompletableFuture.completedFuture(
        AnswerWriter.write(request.requestId(), withJitter(answer), Optional.empty()));
  }

  /**
   * Creates an answer for a request that is not run on this proxy.
   *
   * @param requestId the id of the request
   * @param failure the reason
   * @return a not-run answer with a retry delay
   */
  public ObjectNode notRun(String requestId, Failure failure) {
    Answer answer = new Answer.NotRun(failure, WriteStateMachine.RETRY_AFTER_PROMOTION_MILLIS);
    return AnswerWriter.write(requestId, withJitter(answer), Optional.empty());
  }
}
