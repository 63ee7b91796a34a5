package org.sardinebay.gateway.internal.request;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sardinebay.Clock;
import org.sardinebay.WorkspaceId;
import org.sardinebay.gateway.internal.connection.SessionReply;
import org.sardinebay.gateway.internal.connection.Transaction;
import org.sardinebay.gateway.internal.version.ServiceRuntime;
import org.sardinebay.internal.request.FinalAnswers;
import org.sardinebay.internal.request.RetryPolicy;
import org.sardinebay.session.DatabaseRoute;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs callers' statements until the host stops, and then answers all of them: those that arrive
 * late are refused, and those that are still running at the end get a final answer.
 *
 * <pre>{@code
 * runner.refuseFurther();
 * int unanswered = runner.answerAll();
 * }</pre>
 *
 * <p>Not thread-safe: confined to the event loop of its owner.
 */
public final class StoppableRunner implements StatementRunner {
  private static final Logger LOG = LoggerFactory.getLogger(StoppableRunner.class);

  private final StatementRunner runner;
  private final Clock clock;
  private final Set<Running> running = new LinkedHashSet<>();
  private boolean refusing;

  /** A statement whose answer is due; compared by identity. */
  private static final class Running {
    private final StatementRequest request;
    private final boolean inTransaction;
    private final Consumer<SessionReply> done;

    private Running(StatementRequest request, boolean inTransaction, Consumer<SessionReply> done) {
      this.request = request;
      this.inTransaction = inTransaction;
      this.done = done;
    }
  }

  /**
   * Creates a runner that accepts statements.
   *
   * @param runner runs the statements
   * @param clock the clock
   */
  public StoppableRunner(StatementRunner runner, Clock clock) {
    this.runner = runner;
    this.clock = clock;
  }

  @Override
  public void run(
      StatementRequest request,
      Optional<Transaction> transaction,
      ServiceRuntime service,
      DatabaseRoute route,
      Consumer<SessionReply> done) {
    if (refusing) {
      done.accept(
          failure(
              transaction.isPresent()
                  ? FinalAnswers.hostStoppingInTransaction()
                  : FinalAnswers.hostStopping()));
      return;
    }
    Running statement = new Running(request, transaction.isPresent(), done);
    running.add(statement);
    runner.run(
        request,
        transaction,
        service,
        route,
        reply -> {
          if (running.remove(statement)) {
            done.accept(reply);
          }
        });
  }

  @Override
  public void onTransactionBegun(Optional<WorkspaceId> workspace) {
    runner.onTransactionBegun(workspace);
  }

  /** Refuses all further statements. */
  public void refuseFurther() {
    refusing = true;
  }

  /**
   * Gives each running statement a final answer. Later results are ignored.
   *
   * @return the number of statements
   */
  public int answerAll() {
    int unanswered = 0;
    for (Running statement : Set.copyOf(running)) {
      if (running.remove(statement)) {
        unanswered++;
        answer(statement);
      }
    }
    return unanswered;
  }

  private void answer(Running statement) {
    StatementRequest request = statement.request;
    RetryPolicy.Step.GiveUp answer =
        FinalAnswers.hostStopped(statement.inTransaction, request.writes(), request.commits());
    LOG.atInfo()
        .setMessage("statement_unanswered_at_shutdown")
        .addKeyValue("request", request.id())
        .addKeyValue("code", answer.code())
        .addKeyValue("age_millis", clock.millis() - request.arrivedAt())
        .log();
    try {
      statement.done.accept(failure(answer));
    } catch (RuntimeException e) {
      // The other statements are answered all the same.
      LOG.atError().setMessage("final_answer_failed").setCause(e).log();
    }
  }

  private static SessionReply failure(RetryPolicy.Step.GiveUp answer) {
    return new SessionReply.Failure(answer.code(), answer.text());
  }
}
