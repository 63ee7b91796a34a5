package org.sardinebay.gateway.internal.connection;

import java.util.List;
import java.util.Optional;
import org.sardinebay.session.MemberMessage;

/** The result of an exchange with a member. */
public sealed interface MemberAnswer {
  /**
   * A complete answer.
   *
   * @param rows the rows
   * @param signature the member's signature, if the statement succeeded
   * @param failure the error, if the statement failed
   * @param ready the message that ends the answer
   * @param proven false if this is an error that may be another request's
   * @param sentAt when the statement was sent, by this host's clock, in milliseconds
   */
  record Complete(
      List<String> rows,
      Optional<String> signature,
      Optional<MemberMessage.Failed> failure,
      MemberMessage.Ready ready,
      boolean proven,
      long sentAt)
      implements MemberAnswer {}

  /**
   * The connection was lost, or the answer timed out or violated the protocol.
   *
   * @param cause why there is no answer
   */
  record Lost(LossCause cause) implements MemberAnswer {}
}
