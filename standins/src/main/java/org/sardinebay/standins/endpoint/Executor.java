package org.sardinebay.standins.endpoint;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.StatementKind;

/**
 * Schedules statements. A read first waits until its minimum position is applied. Each statement
 * then waits for a slot and occupies it for the service time. A statement takes effect when it
 * releases its slot.
 */
final class Executor {
  private final MemberSettings settings;
  private final MemberState state;
  private final Connections connections;
  private final StatementRunner runner;
  private final Timers timers;
  private final Outbox outbox;
  private final List<Job> waitingReads = new ArrayList<>();
  private final Deque<Job> queue = new ArrayDeque<>();
  private int running;

  Executor(
      MemberSettings settings,
      MemberState state,
      Connections connections,
      Timers timers,
      Outbox outbox) {
    this.settings = settings;
    this.state = state;
    this.connections = connections;
    this.runner = new StatementRunner(state);
    this.timers = timers;
    this.outbox = outbox;
  }

  void execute(long now, long ticket, EndpointCall.Execute call) {
    Optional<Connection> connection = connections.find(call.connection());
    Optional<Statement> statement = Statement.parse(call.statement());
    Optional<EndpointRefusal> refusal = check(connection, statement, call);
    if (refusal.isPresent()) {
      outbox.answer(ticket, state.refused(refusal.get()));
      return;
    }
    connection.get().startStatement();
    long deadlineAt = now + call.deadlineMillis();
    Job job = new Job(ticket, call, connection.get(), statement, deadlineAt);
    if (call.kind() == StatementKind.READ && !runner.hasApplied(call.minimumPosition())) {
      waitingReads.add(job);
      long waitMillis = Math.min(call.maxWaitMillis(), call.deadlineMillis());
      timers.schedule(now + waitMillis, at -> endWait(at, job));
    } else {
      enqueue(now, job);
    }
  }

  /**
   * Ends the wait of each read whose position is applied, whose position the log excludes, or whose
   * connection is closed.
   */
  void startReadyReads(long now) {
    for (Job job : List.copyOf(waitingReads)) {
      boolean ready = runner.hasApplied(job.call().minimumPosition()) || !job.connection().open();
      if (ready || state.log().excludes(job.call().minimumPosition())) {
        endWait(now, job);
      }
    }
  }

  int running() {
    return running;
  }

  int waiting() {
    return waitingReads.size() + queue.size();
  }

  private static Optional<EndpointRefusal> check(
      Optional<Connection> connection, Optional<Statement> statement, EndpointCall.Execute call) {
    if (connection.isEmpty()) {
      return Optional.of(EndpointRefusal.UNKNOWN_CONNECTION);
    }
    boolean revokesWithoutKey = call.kind() == StatementKind.REVOKE && call.key().isEmpty();
    if (connection.get().busy() || revokesWithoutKey) {
      return Optional.of(EndpointRefusal.BAD_CALL);
    }
    boolean valid =
        switch (call.kind()) {
          case READ -> statement.isPresent() && !statement.get().writes();
          case WRITE, STATEMENT -> statement.isPresent();
          case BEGIN, COMMIT, ROLLBACK, REVOKE -> true;
        };
    return valid ? Optional.empty() : Optional.of(EndpointRefusal.BAD_STATEMENT);
  }

  private void endWait(long now, Job job) {
    if (!waitingReads.remove(job)) {
      return;
    }
    Optional<EndpointRefusal> refusal = runner.checkRead(job);
    if (refusal.isPresent()) {
      answer(now, job, state.refused(refusal.get()));
    } else {
      enqueue(now, job);
    }
  }

  private void enqueue(long now, Job job) {
    if (running < settings.slots()) {
      start(now, job);
      return;
    }
    queue.addLast(job);
    timers.schedule(job.deadlineAt(), at -> expireQueued(at, job));
  }

  private void expireQueued(long now, Job job) {
    if (queue.remove(job)) {
      answer(now, job, state.refused(EndpointRefusal.SLOT_TIMEOUT));
    }
  }

  private void start(long now, Job job) {
    running++;
    long extraMillis = job.statement().map(Statement::extraMillis).orElse(0L);
    timers.schedule(now + settings.serviceMillis() + extraMillis, at -> finish(at, job));
  }

  private void finish(long now, Job job) {
    running--;
    answer(now, job, runner.run(job));
    while (running < settings.slots() && !queue.isEmpty()) {
      Job next = queue.removeFirst();
      if (now >= next.deadlineAt()) {
        answer(now, next, state.refused(EndpointRefusal.SLOT_TIMEOUT));
      } else {
        start(now, next);
      }
    }
  }

  private void answer(long now, Job job, EndpointReply reply) {
    job.connection().endStatement(now);
    outbox.answer(job.ticket(), reply);
  }
}
