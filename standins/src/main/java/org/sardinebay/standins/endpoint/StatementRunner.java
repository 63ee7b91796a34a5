package org.sardinebay.standins.endpoint;

import java.util.List;
import java.util.Optional;
import org.sardinebay.Position;
import org.sardinebay.endpoint.EndpointCall;
import org.sardinebay.endpoint.EndpointRefusal;
import org.sardinebay.endpoint.EndpointReply;
import org.sardinebay.endpoint.IdempotencyKey;
import org.sardinebay.endpoint.StatementKind;

/** Runs a statement atomically, at the end of its time in a slot. */
final class StatementRunner {
  private static final List<String> REVOKED_ROWS = List.of("revoked");

  private final MemberState state;

  StatementRunner(MemberState state) {
    this.state = state;
  }

  /** Returns whether the entry at a position is in the log and applied. */
  boolean hasApplied(Position minimumPosition) {
    return state.log().contains(minimumPosition)
        && state.values().applied().index() >= minimumPosition.index();
  }

  Optional<EndpointRefusal> checkRead(Job job) {
    Position minimumPosition = job.call().minimumPosition();
    if (!job.connection().open()) {
      return Optional.of(EndpointRefusal.UNKNOWN_CONNECTION);
    }
    if (state.log().excludes(minimumPosition)) {
      return Optional.of(EndpointRefusal.BRANCH_LOST);
    }
    return hasApplied(minimumPosition) ? Optional.empty() : Optional.of(EndpointRefusal.BEHIND);
  }

  EndpointReply run(Job job) {
    if (!job.connection().open()) {
      return state.refused(EndpointRefusal.UNKNOWN_CONNECTION);
    }
    if (job.call().kind() == StatementKind.READ) {
      return read(job);
    }
    Optional<EndpointRefusal> refusal = state.refusalInTerm(job.call().term());
    if (refusal.isPresent()) {
      return state.refused(refusal.get());
    }
    return switch (job.call().kind()) {
      case READ -> read(job);
      case WRITE -> write(job);
      case BEGIN -> begin(job.connection());
      case STATEMENT -> statement(job);
      case COMMIT -> commit(job);
      case ROLLBACK -> rollback(job.connection());
      case REVOKE -> revoke(job.call());
    };
  }

  private EndpointReply read(Job job) {
    if (job.connection().transaction().isPresent()) {
      return state.refused(EndpointRefusal.TRANSACTION_STATE);
    }
    long requestedTerm = job.call().term();
    if (requestedTerm != 0 && requestedTerm < state.term()) {
      return state.refused(EndpointRefusal.STALE_TERM);
    }
    Optional<EndpointRefusal> refusal = checkRead(job);
    if (refusal.isPresent()) {
      return state.refused(refusal.get());
    }
    return evaluate(job, state.values())
        .<EndpointReply>map(evaluation -> doneAtAppliedPosition(evaluation.rows()))
        .orElseGet(() -> state.refused(EndpointRefusal.BAD_STATEMENT));
  }

  private EndpointReply write(Job job) {
    if (job.connection().transaction().isPresent()) {
      return state.refused(EndpointRefusal.TRANSACTION_STATE);
    }
    Optional<EndpointReply> settled = settled(job.call());
    if (settled.isPresent()) {
      return settled.get();
    }
    return evaluate(job, state.values())
        .map(
            evaluation ->
                appendEntry(evaluation.effects(), job.call().key(), evaluation.rows(), false))
        .orElseGet(() -> state.refused(EndpointRefusal.BAD_STATEMENT));
  }

  private EndpointReply begin(Connection connection) {
    if (connection.transaction().isPresent()) {
      return state.refused(EndpointRefusal.TRANSACTION_STATE);
    }
    connection.transaction(Optional.of(new Transaction(state.values())));
    return doneAtAppliedPosition(List.of());
  }

  private EndpointReply statement(Job job) {
    Optional<Transaction> transaction = job.connection().transaction();
    if (transaction.isEmpty()) {
      return state.refused(EndpointRefusal.TRANSACTION_STATE);
    }
    Optional<Evaluation> evaluation = evaluate(job, transaction.get());
    if (evaluation.isEmpty()) {
      return state.refused(EndpointRefusal.BAD_STATEMENT);
    }
    transaction.get().write(evaluation.get().effects());
    return doneAtAppliedPosition(evaluation.get().rows());
  }

  private EndpointReply commit(Job job) {
    Optional<Transaction> transaction = job.connection().transaction();
    job.connection().transaction(Optional.empty());
    Optional<EndpointReply> settled = settled(job.call());
    if (settled.isPresent()) {
      return settled.get();
    }
    if (transaction.isEmpty()) {
      return state.refused(EndpointRefusal.TRANSACTION_STATE);
    }
    if (!transaction.get().valid()) {
      return state.refused(EndpointRefusal.CONFLICT);
    }
    return appendEntry(transaction.get().effects(), job.call().key(), List.of(), false);
  }

  private EndpointReply rollback(Connection connection) {
    if (connection.transaction().isEmpty()) {
      return state.refused(EndpointRefusal.TRANSACTION_STATE);
    }
    connection.transaction(Optional.empty());
    return doneAtAppliedPosition(List.of());
  }

  private EndpointReply revoke(EndpointCall.Execute call) {
    return settled(call).orElseGet(() -> appendEntry(List.of(), call.key(), REVOKED_ROWS, true));
  }

  /** Returns the reply to a call whose idempotency key already has an entry; empty if none. */
  private Optional<EndpointReply> settled(EndpointCall.Execute call) {
    return call.key()
        .flatMap(key -> state.log().entryForKey(key.value()))
        .map(entry -> settled(call, entry));
  }

  private EndpointReply settled(EndpointCall.Execute call, LogEntry entry) {
    if (entry.tombstone() && call.kind() != StatementKind.REVOKE) {
      return state.refused(EndpointRefusal.REVOKED);
    }
    if (!entry.tombstone() && !entry.key().equals(call.key())) {
      return state.refused(EndpointRefusal.KEY_REUSED);
    }
    return new EndpointReply.Done(entry.rows(), entry.position(), true);
  }

  private EndpointReply appendEntry(
      List<Effect> effects, Optional<IdempotencyKey> key, List<String> rows, boolean tombstone) {
    LogEntry entry = new LogEntry(state.nextPosition(), effects, key, rows, tombstone);
    state.appendAsPrimary(entry);
    return new EndpointReply.Done(rows, entry.position(), false);
  }

  private EndpointReply doneAtAppliedPosition(List<String> rows) {
    return new EndpointReply.Done(rows, state.values().applied(), false);
  }

  private static Optional<Evaluation> evaluate(Job job, View view) {
    return job.statement().orElseThrow().evaluate(view);
  }
}
