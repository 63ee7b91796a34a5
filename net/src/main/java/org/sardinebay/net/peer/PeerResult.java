package org.sardinebay.net.peer;

import org.sardinebay.net.peer.generated.Frame;

/** What a call to another process came to. */
public sealed interface PeerResult {
  /**
   * The answer arrived.
   *
   * @param frame the answer
   */
  record Reply(Frame frame) implements PeerResult {}

  /** The call never left: no connection could be made. */
  record NotSent() implements PeerResult {}

  /** The call may have arrived, but no answer came in time or the connection broke. */
  record NoReply() implements PeerResult {}
}
