package org.sardinebay.net.peer;

import org.sardinebay.net.peer.generated.Frame;

/** The result of a call to another process. */
public sealed interface PeerResult {
  /**
   * The reply arrived.
   *
   * @param frame the reply
   */
  record Reply(Frame frame) implements PeerResult {}

  /** The call was not sent because no connection could be opened. */
  record NotSent() implements PeerResult {}

  /** The call may have reached the peer, but it timed out or the connection was lost. */
  record NoReply() implements PeerResult {}
}
