package org.sardinebay;

import org.sardinebay.record.FieldProblem;

/**
 * The reason why a request has no result. Each kind of failure is a type of its own; its message
 * says what happened, why, and what to do next.
 */
public sealed interface Failure {
  /**
   * The failure code that callers receive.
   *
   * @return the code in lower case with hyphens
   */
  String code();

  /**
   * What happened, why, and what to do next.
   *
   * @return one or two sentences
   */
  String message();

  /**
   * A field of the request is invalid.
   *
   * @param problem the field, and which values are allowed
   */
  record BadRequest(FieldProblem problem) implements Failure {
    @Override
    public String code() {
      return "bad-request";
    }

    @Override
    public String message() {
      return "The request was not taken: " + problem + ". Correct the field and send it again.";
    }
  }

  /** The body is not a JSON object. */
  record NotJson() implements Failure {
    @Override
    public String code() {
      return "bad-request";
    }

    @Override
    public String message() {
      return "The request was not taken: its body is not a JSON object. Send one JSON object.";
    }
  }

  /** The session token is malformed or not authentic. */
  record TokenInvalid() implements Failure {
    @Override
    public String code() {
      return "token-invalid";
    }

    @Override
    public String message() {
      return "The session token was not made by this system for this caller, or is cut short."
          + " Send the last token received, or none to start a new session.";
    }
  }

  /**
   * The session used more databases than a token can hold.
   *
   * @param limit the maximum number of databases in a token
   */
  record TokenFull(int limit) implements Failure {
    @Override
    public String code() {
      return "token-full";
    }

    @Override
    public String message() {
      return "The session token holds positions of "
          + limit
          + " databases at most."
          + " Start a new session for further databases.";
    }
  }

  /**
   * No accepted record describes the database.
   *
   * @param database the database's name
   */
  record UnknownDatabase(DatabaseId database) implements Failure {
    @Override
    public String code() {
      return "unknown-database";
    }

    @Override
    public String message() {
      return "No accepted record describes database " + database + ". Check the name.";
    }
  }

  /**
   * The log entry at the session's position was dropped by a promotion.
   *
   * @param database the database
   * @param position the position that no branch of the log contains any more
   */
  record SessionBranchLost(DatabaseId database, Position position) implements Failure {
    @Override
    public String code() {
      return "session-branch-lost";
    }

    @Override
    public String message() {
      return "Entry "
          + position.index()
          + " of term "
          + position.term()
          + " of database "
          + database
          + " was dropped by a change of primary. Start a new session and read again.";
    }
  }

  /** The transaction is unknown to this proxy. */
  record UnknownTransaction() implements Failure {
    @Override
    public String code() {
      return "unknown-transaction";
    }

    @Override
    public String message() {
      return "The transaction is not open: it ended, was idle for too long, or is another"
          + " caller's. It left no effect unless its commit was answered; begin a new one.";
    }
  }

  /** The transaction is still running another statement. */
  record TransactionBusy() implements Failure {
    @Override
    public String code() {
      return "transaction-busy";
    }

    @Override
    public String message() {
      return "The transaction is still running another statement. Wait for its answer first.";
    }
  }

  /** The transaction conflicted with a later write. */
  record Conflict() implements Failure {
    @Override
    public String code() {
      return "conflict";
    }

    @Override
    public String message() {
      return "Another write changed what the transaction read or wrote; it was rolled back."
          + " Begin it anew.";
    }
  }

  /** The idempotency key was already used for a different request. */
  record KeyReused() implements Failure {
    @Override
    public String code() {
      return "key-reused";
    }

    @Override
    public String message() {
      return "The idempotency key was used for a different request before. Use a new key.";
    }
  }

  /** The endpoint can't read the statement. */
  record BadStatement() implements Failure {
    @Override
    public String code() {
      return "bad-statement";
    }

    @Override
    public String message() {
      return "The endpoint can't read the statement. Correct it and send it again.";
    }
  }

  /** The idempotency key was revoked before it had an effect. */
  record Revoked() implements Failure {
    @Override
    public String code() {
      return "revoked";
    }

    @Override
    public String message() {
      return "The request was given up and revoked before it ran; its key is void."
          + " Send it with a new key.";
    }
  }

  /** The proxy has not received its configuration yet. */
  record NoConfiguration() implements Failure {
    @Override
    public String code() {
      return "no-configuration";
    }

    @Override
    public String message() {
      return "This proxy has just started and has no configuration yet. Come back shortly.";
    }
  }

  /** The proxy is shutting down. */
  record ShuttingDown() implements Failure {
    @Override
    public String code() {
      return "shutting-down";
    }

    @Override
    public String message() {
      return "This proxy is shutting down and takes no new work. Use another proxy.";
    }
  }

  /**
   * No primary is known.
   *
   * @param database the database
   */
  record NoPrimary(DatabaseId database) implements Failure {
    @Override
    public String code() {
      return "no-primary";
    }

    @Override
    public String message() {
      return "Database "
          + database
          + " has no primary at the moment; one is being promoted."
          + " Come back shortly.";
    }
  }

  /**
   * The primary can't be reached from this proxy.
   *
   * @param member the primary
   */
  record PrimaryUnreachable(MemberId member) implements Failure {
    @Override
    public String code() {
      return "primary-unreachable";
    }

    @Override
    public String message() {
      return "Primary " + member + " does not answer this proxy. Come back shortly.";
    }
  }

  /**
   * A majority of the members can't be reached from this proxy.
   *
   * @param database the database
   */
  record MajorityUnreachable(DatabaseId database) implements Failure {
    @Override
    public String code() {
      return "majority-unreachable";
    }

    @Override
    public String message() {
      return "A majority of the members of database "
          + database
          + " does not answer this proxy, so that a write could be lost. Come back later, or use"
          + " a proxy of another failure domain.";
    }
  }

  /**
   * No reachable member can prove that its data is young enough.
   *
   * @param maxAgeMillis the requested maximum age, in milliseconds
   */
  record AgeNotProvable(long maxAgeMillis) implements Failure {
    @Override
    public String code() {
      return "age-not-provable";
    }

    @Override
    public String message() {
      return "No reachable member can prove that its data is at most "
          + maxAgeMillis
          + " ms old. Come back later, or accept older data.";
    }
  }

  /** No reachable member has applied everything that the session wrote and read. */
  record SessionNotReached() implements Failure {
    @Override
    public String code() {
      return "session-not-reached";
    }

    @Override
    public String message() {
      return "No reachable member has all that this session wrote and read yet."
          + " Come back shortly.";
    }
  }

  /** Too much work is queued for the request to be served in time. */
  record Overloaded() implements Failure {
    @Override
    public String code() {
      return "overloaded";
    }

    @Override
    public String message() {
      return "Too much work is waiting for the endpoint for this request to be done in its time."
          + " Come back after the time given.";
    }
  }

  /** The request's deadline passed before it was sent. */
  record DeadlineExceeded() implements Failure {
    @Override
    public String code() {
      return "deadline-exceeded";
    }

    @Override
    public String message() {
      return "The time for the answer ran out before the request was sent to an endpoint."
          + " Send it again with more time.";
    }
  }

  /** No proxy that holds connections to the database (a home) could be reached. */
  record HomeUnreachable() implements Failure {
    @Override
    public String code() {
      return "home-unreachable";
    }

    @Override
    public String message() {
      return "No proxy that holds connections to this database could be reached."
          + " Come back shortly.";
    }
  }

  /** The request was sent, but its outcome did not become known. */
  record OutcomeUnknown() implements Failure {
    @Override
    public String code() {
      return "outcome-unknown";
    }

    @Override
    public String message() {
      return "The request was sent but its outcome did not become known in time. Send it again"
          + " with the same idempotency key: it runs once at most.";
    }
  }
}
