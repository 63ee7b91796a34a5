package org.sardinebay.gateway.internal.process;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;

/** Closes the channels of an event loop that is about to stop. */
final class LoopChannels {
  private LoopChannels() {}

  /**
   * Closes all channels that are registered with a selector, also those that are still connecting.
   *
   * @param selector the selector; called on the thread that selects
   * @throws IOException if a channel could not be closed; the others are closed all the same
   */
  static void closeAll(Selector selector) throws IOException {
    IOException failure = null;
    for (SelectionKey key : List.copyOf(selector.keys())) {
      try {
        key.channel().close();
      } catch (IOException e) {
        failure = e;
      }
    }
    // The socket of a channel with a pending connect is only closed by the next selection.
    selector.selectNow();
    if (failure != null) {
      throw failure;
    }
  }
}
