package org.sardinebay.endpoint;

import java.util.List;
import java.util.Optional;
import org.sardinebay.MemberId;
import org.sardinebay.Position;

/** A reply of a database member, or the network's failure to bring one. */
public sealed interface EndpointReply {

  /**
   * A connection is open.
   *
   * @param connection its name
   */
  record Opened(String connection) implements EndpointReply {}

  /** A close was carried out. */
  record Closed() implements EndpointReply {}

  /**
   * A statement ran.
   *
   * @param rows what it returned
   * @param position for writes, commits and revocations: the entry that holds the effect (equal to
   *     the earlier one's for a replay); for reads: the last entry applied
   * @param replay whether the key had this effect already, so that nothing ran now
   */
  record Done(List<String> rows, Position position, boolean replay) implements EndpointReply {}

  /**
   * The member refused; nothing ran, and nothing will.
   *
   * @param refusal why
   * @param term the member's own term
   * @param applied the last entry that the member applied
   */
  record Refused(EndpointRefusal refusal, long term, Position applied) implements EndpointReply {}

  /**
   * Where a member stands.
   *
   * @param member the member's name
   * @param term the highest term it has seen (fenced, followed or led)
   * @param role what it is in that term
   * @param primary the primary of that term, if it knows
   * @param received the last entry that it received and keeps
   * @param applied the last entry that its reads show
   * @param synced whether its log is known to be a prefix of the log of {@code term}'s primary;
   *     only then does {@code received} confirm anything
   * @param history the start of each term in its log, oldest first
   * @param leaving whether it is closing down and wants no new work
   * @param connections how many connections are open
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
   * A fence, promotion or follow was carried out.
   *
   * @param term the member's term now
   * @param received the last entry that it received and keeps
   */
  record Obeyed(long term, Position received) implements EndpointReply {}

  /** The call never left: no connection could be made. */
  record NotSent() implements EndpointReply {}

  /** The call may have reached the member, but no reply came in time, or one that can't be read. */
  record NoReply() implements EndpointReply {}

  /** A reply to some other call arrived; the connection can't be trusted any more. */
  record Crossed() implements EndpointReply {}
}
