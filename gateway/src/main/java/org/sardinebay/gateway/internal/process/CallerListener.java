package org.sardinebay.gateway.internal.process;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.sardinebay.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The listening socket for callers. It is bound as the first step of a start and served as the last
 * one: the load it answers is that of callers who return while a host starts after a loss of power.
 * A refused connection costs a caller one of its few attempts; one that the kernel has queued is
 * served as soon as the host is able to.
 *
 * <pre>{@code
 * CallerListener listener = CallerListener.bind(address);
 * listener.serve(loop, this::accept);
 * }</pre>
 */
final class CallerListener {
  private static final Logger LOG = LoggerFactory.getLogger(CallerListener.class);

  /** Connections that the kernel queues; callers of a whole failure domain may return at once. */
  private static final int BACKLOG = 1_024;

  private final ServerSocketChannel channel;

  private CallerListener(ServerSocketChannel channel) {
    this.channel = channel;
  }

  /**
   * Binds the socket. The kernel queues connections from now on.
   *
   * @param address the address to listen on
   * @return the listener
   * @throws IOException if the address can't be bound
   */
  static CallerListener bind(Address address) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.configureBlocking(false);
      channel.bind(address.socketAddress(), BACKLOG);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    return new CallerListener(channel);
  }

  /**
   * Accepts connections, the queued ones first.
   *
   * @param loop the event loop; called on its thread
   * @param onSocket receives each connection on the event loop's thread
   * @throws IOException if the socket was closed
   */
  void serve(Eventloop loop, Consumer<ITcpSocket> onSocket) throws IOException {
    // The event loop passes each accepted channel to the consumer attached to the key.
    Consumer<SocketChannel> onChannel = accepted -> wrap(loop, accepted, onSocket);
    channel.register(loop.ensureSelector(), SelectionKey.OP_ACCEPT, onChannel);
  }

  private static void wrap(Eventloop loop, SocketChannel accepted, Consumer<ITcpSocket> onSocket) {
    try {
      InetSocketAddress remote = (InetSocketAddress) accepted.getRemoteAddress();
      onSocket.accept(
          TcpSocket.wrapChannel(loop, accepted, remote, SocketSettings.defaultInstance()));
    } catch (IOException e) {
      // The caller has closed the connection meanwhile.
      LOG.atDebug().setMessage("connection_not_accepted").addKeyValue("cause", e).log();
      loop.closeChannel(accepted, null);
    }
  }

  /**
   * Closes the socket of a process that could not start.
   *
   * @throws IOException if closing fails
   */
  void close() throws IOException {
    channel.close();
  }
}
