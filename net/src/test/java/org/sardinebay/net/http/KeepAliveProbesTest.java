package org.sardinebay.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.Test;

/** Guards against connections to the store that stay open for minutes after its host is gone. */
class KeepAliveProbesTest {
  /** A configuration must be in force 3 s after its host can be reached again. */
  private static final int MAX_SECONDS = 2;

  @Test
  void should_let_a_dead_connection_fail_before_a_configuration_is_overdue() throws Exception {
    try (ServerSocketChannel server = ServerSocketChannel.open()) {
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      try (SocketChannel channel = SocketChannel.open(server.getLocalAddress())) {
        assertThat(KeepAliveProbes.enable(channel)).isTrue();

        assertThat(channel.getOption(StandardSocketOptions.SO_KEEPALIVE)).isTrue();
        int seconds =
            channel.getOption(ExtendedSocketOptions.TCP_KEEPIDLE)
                + channel.getOption(ExtendedSocketOptions.TCP_KEEPINTERVAL)
                    * channel.getOption(ExtendedSocketOptions.TCP_KEEPCOUNT);
        assertThat(seconds).isLessThanOrEqualTo(MAX_SECONDS);
      }
    }
  }
}
