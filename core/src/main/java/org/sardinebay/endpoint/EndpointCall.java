package org.sardinebay.endpoint;

import java.util.Optional;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** A call that a database member takes. */
public sealed interface EndpointCall {

  /**
   * Opens a connection. Counts against the member's connection limit until it is closed, or silent
   * for the member's idle limit.
   *
   * @param client the name of the process that opens it
   */
  record Open(String client) implements EndpointCall {}

  /**
   * Closes a connection and rolls back its open transaction.
   *
   * @param connection the connection's name, as {@link EndpointReply.Opened} gave it
   */
  record Close(String connection) implements EndpointCall {}

  /**
   * Runs a statement on a connection.
   *
   * @param connection the connection's name
   * @param kind what the statement is
   * @param statement the text for the endpoint, never parsed by the proxy; empty where the kind
   *     needs none
   * @param term for writes and transactions: the term in which the member must be primary; 0 for
   *     reads
   * @param least for reads: the position that the member must have applied
   * @param maxWaitMillis for reads: how long the member may wait to reach {@code least}
   * @param key for writes and commits: the idempotency key, entered with the effect
   * @param deadlineMillis how long the member may take in all; after it the member does not start
   */
  record Execute(
      String connection,
      StatementKind kind,
      String statement,
      long term,
      Position least,
      long maxWaitMillis,
      Optional<IdempotencyKey> key,
      long deadlineMillis)
      implements EndpointCall {}

  /**
   * Asks where the member stands. Takes no connection and no slot.
   *
   * @param term the caller's term, 0 if it knows none; never changes the member's own
   * @param afterIndex the member answers as soon as it received an index above this one
   * @param waitMillis how long the member may wait for that; 0 to answer at once
   */
  record Progress(long term, long afterIndex, long waitMillis) implements EndpointCall {}

  /**
   * Makes the member refuse all older terms: it takes no entry, confirms no position and runs no
   * write for them. Repeatable by the same owner.
   *
   * @param term the new term; must be above the member's, or equal with the same owner
   * @param owner the name of the promotion's driver
   */
  record Fence(long term, String owner) implements EndpointCall {}

  /**
   * Makes a member that is fenced at {@code term} by {@code owner} the primary of that term. The
   * member appends an entry that opens the term. Repeatable.
   *
   * @param term the term that it leads
   * @param owner the name of the promotion's driver
   */
  record Promote(long term, String owner) implements EndpointCall {}

  /**
   * Makes the member follow a primary: it drops the tail of its log that the primary does not have,
   * then takes the primary's entries. Raises the member's term to {@code term}. Repeatable.
   *
   * @param term the primary's term
   * @param primary the primary's name
   * @param address where the member reaches the primary
   */
  record Follow(long term, MemberId primary, Address address) implements EndpointCall {}
}
