package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** One operation of a session, with all its attempts. */
sealed interface Operation {
  /** The failure code of a request whose idempotency key was revoked before the request ran. */
  String REVOKED = "revoked";

  /** The name of the session. */
  String session();

  /** The attempts in the order in which they were sent; a concurrent duplicate comes last. */
  List<Attempt> attempts();

  /**
   * A read of a list.
   *
   * @param session the session that read
   * @param key the list's key
   * @param maxAgeMillis the maximum age in milliseconds; empty for a read that only has to show
   *     what its session wrote and read
   * @param attempt the only attempt
   */
  record Read(String session, String key, OptionalLong maxAgeMillis, Attempt attempt)
      implements Operation {
    @Override
    public List<Attempt> attempts() {
      return List.of(attempt);
    }
  }

  /**
   * A value appended to a list.
   *
   * @param session the session that wrote
   * @param key the list's key
   * @param value the value, unique in the run
   * @param repeatable whether the write may run more than once
   * @param idempotencyKey the idempotency key of all attempts
   * @param attempts the attempts
   */
  record Write(
      String session,
      String key,
      String value,
      boolean repeatable,
      String idempotencyKey,
      List<Attempt> attempts)
      implements Operation {
    Outcome outcome() {
      return outcomeOf(attempts);
    }
  }

  /**
   * A transaction that appends one value to both lists of a pair.
   *
   * @param session the session that ran the transaction
   * @param pair the name of the pair
   * @param value the value, unique in the run
   * @param idempotencyKey the idempotency key of the commit
   * @param statements the attempts of begin, statements and rollback; these are never retried
   * @param commits the attempts of the commit; empty if no commit was sent
   * @param readBack the rows of the first list that the transaction read after its own append
   */
  record Transaction(
      String session,
      String pair,
      String value,
      String idempotencyKey,
      List<Attempt> statements,
      List<Attempt> commits,
      Optional<List<String>> readBack)
      implements Operation {
    @Override
    public List<Attempt> attempts() {
      return Stream.concat(statements.stream(), commits.stream()).toList();
    }

    Outcome outcome() {
      return commits.isEmpty() ? Outcome.NOT_RUN : outcomeOf(commits);
    }
  }

  /**
   * The session discarded its token because a promotion dropped the session's position.
   *
   * @param session the session that was reset
   */
  record SessionReset(String session) implements Operation {
    @Override
    public List<Attempt> attempts() {
      return List.of();
    }
  }

  /** Combines the outcomes of all attempts that share an idempotency key. */
  private static Outcome outcomeOf(List<Attempt> attempts) {
    if (attempts.stream().anyMatch(Attempt::isDone)) {
      return Outcome.DONE;
    }
    if (attempts.stream().anyMatch(attempt -> attempt.answer().code().equals(REVOKED))) {
      return Outcome.NOT_RUN;
    }
    boolean uncertain = attempts.stream().anyMatch(Attempt::isUncertain);
    return uncertain ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }
}
