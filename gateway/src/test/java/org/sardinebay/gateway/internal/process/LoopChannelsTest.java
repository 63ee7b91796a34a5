package org.sardinebay.gateway.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;

/**
 * A channel that is closed while its connect is pending keeps its socket open until the next
 * selection; an event loop that stops without one would leave the connection open.
 */
class LoopChannelsTest {
  private static final int TIMEOUT_MILLIS = 2_000;

  @Test
  void should_close_a_channel_whose_connect_is_pending() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Selector selector = Selector.open();
        SocketChannel channel = SocketChannel.open()) {
      channel.configureBlocking(false);
      channel.connect(server.getLocalSocketAddress());
      channel.register(selector, SelectionKey.OP_CONNECT);
      try (Socket accepted = server.accept()) {
        accepted.setSoTimeout(TIMEOUT_MILLIS);

        LoopChannels.closeAll(selector);

        assertThat(accepted.getInputStream().read()).isEqualTo(-1);
      }
    }
  }
}
