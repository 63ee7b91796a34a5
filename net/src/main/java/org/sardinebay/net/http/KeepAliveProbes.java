package org.sardinebay.net.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.Set;
import jdk.net.ExtendedSocketOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the kernel probe idle connections, so that a connection whose other end is gone fails within
 * some two seconds, however long the call on it waits. The probes are answered by the next TCP end
 * point: a relay in between that stops passing data on still answers them.
 */
final class KeepAliveProbes implements TcpSocket.Inspector {
  private static final Logger LOG = LoggerFactory.getLogger(KeepAliveProbes.class);

  /** Idle time before the first probe, in seconds: the least that the kernel accepts. */
  private static final int IDLE_SECONDS = 1;

  /** Time between two probes, in seconds: the least that the kernel accepts. */
  private static final int INTERVAL_SECONDS = 1;

  /** Unanswered probes after which the connection fails. */
  private static final int PROBES = 1;

  private static final Set<SocketOption<?>> OPTIONS =
      Set.of(
          StandardSocketOptions.SO_KEEPALIVE,
          ExtendedSocketOptions.TCP_KEEPIDLE,
          ExtendedSocketOptions.TCP_KEEPINTERVAL,
          ExtendedSocketOptions.TCP_KEEPCOUNT);

  /**
   * Has a connection probed.
   *
   * @param channel the open channel
   * @return whether the platform has the options and accepted them
   */
  static boolean enable(SocketChannel channel) {
    if (!channel.supportedOptions().containsAll(OPTIONS)) {
      return false;
    }
    try {
      channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_SECONDS);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_SECONDS);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
      channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
      return true;
    } catch (IOException e) {
      LOG.atDebug().setMessage("keep_alive_not_set").addKeyValue("cause", e.getMessage()).log();
      return false;
    }
  }

  @Override
  public void onConnect(TcpSocket socket) {
    enable(socket.getSocketChannel());
  }

  @Override
  public void onReadTimeout(TcpSocket socket) {}

  @Override
  public void onRead(TcpSocket socket, ByteBuf buf) {}

  @Override
  public void onReadEndOfStream(TcpSocket socket) {}

  @Override
  public void onReadError(TcpSocket socket, IOException e) {}

  @Override
  public void onWriteTimeout(TcpSocket socket) {}

  @Override
  public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {}

  @Override
  public void onWriteError(TcpSocket socket, IOException e) {}

  @Override
  public void onDisconnect(TcpSocket socket) {}

  @Override
  public <T extends TcpSocket.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
