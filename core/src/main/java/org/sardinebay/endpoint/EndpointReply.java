package org.sardinebay.endpoint;

import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** A database member's reply to a call, or the network failure that occurred instead. */
public sealed interface EndpointReply {

  /**
   * A connection was opened.
   *
   * @param connection the connection's name
   */
  record Opened(String connection) implements EndpointReply {}

  /** A connection was closed. */
  record Closed() implements EndpointReply {}

  /**
   * A statement ran.
   *
   * @param rows the rows that the statement returned
   * @param position for writes, commits and revocations: the log entry that contains the effect
   *     (for a replay, that of the original run); for reads: the last entry applied
   * @param replay whether the idempotency key already had this effect, so that nothing ran now
   */
  record Done(List<String> rows, Position position, boolean replay) implements EndpointReply {}

  /**
   * The member refused the call: nothing ran, and nothing will run later.
   *
   * @param refusal the reason
   * @param term the member's current term
   * @param applied the last entry that the member applied
   */
  record Refused(EndpointRefusal refusal, long term, Position applied) implements EndpointReply {}

  /**
   * The replication state of a member.
   *
   * @param member the member's name
   * @param term the highest term that the member has been fenced at, followed or led
   * @param role the member's role in that term
   * @param primary the primary of that term, if the member knows it
   * @param received the last entry that the member received and keeps
   * @param applied the last entry that the member's reads reflect
   * @param synced whether the member's log is known to be a prefix of the log of {@code term}'s
   *     primary; {@code received} is a confirmation only in this case
   * @param history the first position of each term in the member's log, oldest first
   * @param leaving whether the member is shutting down and should get no new work
   * @param connections the number of open connections
   */
  record Standing(
      MemberId member,
      long term,
      MemberRole role,
      Optional<MemberId> primary,
      Position received,
      Position applied,
      boolean synced,
      List<Position> history,
      boolean leaving,
      int connections)
      implements EndpointReply {}

  /**
   * A fence, promotion or follow call was executed.
   *
   * @param term the member's term after the call
   * @param received the last entry that the member received and keeps
   */
  record Obeyed(long term, Position received) implements EndpointReply {}

  /** The call was not sent: no connection could be established. */
  record NotSent() implements EndpointReply {}

  /** The call may have reached the member, but no reply arrived in time, or it can't be parsed. */
  record NoReply() implements EndpointReply {}

  /** A reply to a different call arrived, so the connection can no longer be trusted. */
  record Crossed() implements EndpointReply {}
}
