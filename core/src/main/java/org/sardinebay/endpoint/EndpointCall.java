package org.sardinebay.endpoint;

import java.util.Optional;
import org.sardinebay.Address;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** A call to a database member. */
public sealed interface EndpointCall {

  /**
   * Opens a connection. It counts towards the member's connection limit until it is closed, or idle
   * for longer than the member's idle limit.
   *
   * @param client the name of the process that opens the connection
   */
  record Open(String client) implements EndpointCall {}

  /**
   * Closes a connection and rolls back its open transaction.
   *
   * @param connection the connection's name, as returned in {@link EndpointReply.Opened}
   */
  record Close(String connection) implements EndpointCall {}

  /**
   * Runs a statement on a connection.
   *
   * @param connection the connection's name
   * @param kind the kind of the statement
   * @param statement the statement's text, which the proxy never parses; empty for kinds without a
   *     text
   * @param term for writes and transactions: the term in which the member must be primary; 0 for
   *     reads
   * @param minimumPosition for reads: the position that the member must have applied
   * @param maxWaitMillis for reads: how long the member may wait to apply {@code minimumPosition},
   *     in milliseconds
   * @param key for writes and commits: the idempotency key, recorded together with the effect
   * @param deadlineMillis the total time that the member may take, in milliseconds; the member does
   *     not start the statement after it has elapsed
   */
  record Execute(
      String connection,
      StatementKind kind,
      String statement,
      long term,
      Position minimumPosition,
      long maxWaitMillis,
      Optional<IdempotencyKey> key,
      long deadlineMillis)
      implements EndpointCall {}

  /**
   * Requests the member's replication state. Needs neither a connection nor a slot.
   *
   * @param term the term that the sender knows, 0 if it knows none; does not change the member's
   *     term
   * @param afterIndex the member answers as soon as it has received an entry with a greater index
   * @param waitMillis how long the member may wait for such an entry, in milliseconds; 0 to answer
   *     immediately
   */
  record Progress(long term, long afterIndex, long waitMillis) implements EndpointCall {}

  /**
   * Fences the member against all older terms: it accepts no entry, confirms no position and runs
   * no write for them. Idempotent for the same owner.
   *
   * @param term the new term; must be greater than the member's, or equal to it with the same owner
   * @param owner the ID of the promotion attempt
   */
  record Fence(long term, String owner) implements EndpointCall {}

  /**
   * Makes a member that is fenced at {@code term} by {@code owner} the primary of that term. The
   * member appends an entry that opens the term. Idempotent.
   *
   * @param term the term in which the member becomes the primary
   * @param owner the ID of the promotion attempt
   */
  record Promote(long term, String owner) implements EndpointCall {}

  /**
   * Makes the member replicate a primary: it truncates the tail of its log that the primary does
   * not have, then receives the primary's entries. Raises the member's term to {@code term}.
   * Idempotent.
   *
   * @param term the primary's term
   * @param primary the primary's name
   * @param address the address where the member can reach the primary
   */
  record Follow(long term, MemberId primary, Address address) implements EndpointCall {}
}
