package org.sardinebay.standins.driver;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** One thing that a session did, with all its attempts. */
sealed interface Operation {
  /** The failure of a request whose key was made void before it ran. */
  String REVOKED = "revoked";

  /** The name of the session. */
  String session();

  /** The attempts in the order in which they were sent. */
  List<Attempt> attempts();

  /**
   * A read of a list.
   *
   * @param session who read
   * @param key the list's key
   * @param maxAgeMillis the age accepted; absent for a read that must show the session's own
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
   * @param session who wrote
   * @param key the list's key
   * @param value the value, unique in the run
   * @param repeatable whether it was allowed to run more than once
   * @param idempotencyKey the key that all attempts carried
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
   * @param session who ran it
   * @param pair the name of the pair
   * @param value the value, unique in the run
   * @param idempotencyKey the commit's key
   * @param statements the attempts of begin, statements and rollback, none sent twice
   * @param commits the attempts of the commit; none if it was never sent
   * @param readBack what the transaction read of its first list after its own append
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
   * The session gave its token up, as its position was dropped by a promotion.
   *
   * @param session who started anew
   */
  record SessionReset(String session) implements Operation {
    @Override
    public List<Attempt> attempts() {
      return List.of();
    }
  }

  /** What attempts with one idempotency key prove together. */
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
