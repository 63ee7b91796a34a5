package org.sardinebay.gateway.internal.connection;

import java.util.List;
import java.util.Optional;
import org.sardinebay.session.MemberMessage;

/** What an exchange with a member came to. */
public sealed interface MemberAnswer {
  /**
   * A whole answer.
   *
   * @param rows its rows
   * @param signature the member's signature, if the statement succeeded
   * @param failure the error, if it did not
   * @param ready the end of the answer
   * @param askedAt when the statement was sent
   */
  record Whole(
      List<String> rows,
      Optional<String> signature,
      Optional<MemberMessage.Failed> failure,
      MemberMessage.Ready ready,
      long askedAt)
      implements MemberAnswer {}

  /**
   * The connection was lost, or the answer did not come in time or made no sense.
   *
   * @param cause what happened
   */
  record Lost(LossCause cause) implements MemberAnswer {}
}
