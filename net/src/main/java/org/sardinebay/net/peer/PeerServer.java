package org.sardinebay.net.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinebay.Address;
import org.sardinebay.net.peer.generated.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An RPC server for calls from other processes.
 *
 * <pre>{@code
 * PeerServer server = PeerServer.start(address, call -> reply(call));
 * ...
 * server.stop();
 * }</pre>
 */
public final class PeerServer {
  static final int EVENT_LOOP_THREADS = 2;
  static final long STOP_TIMEOUT_MILLIS = 2_000;

  private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

  private final EventLoopGroup group;
  private final Channel listener;

  private PeerServer(EventLoopGroup group, Channel listener) {
    this.group = group;
    this.listener = listener;
  }

  /**
   * Starts a server.
   *
   * @param listen the listen address
   * @param handler the handler of all calls
   * @return the running server
   * @throws IOException if the address can't be bound
   */
  public static PeerServer start(Address listen, PeerHandler handler) throws IOException {
    return start(listen, () -> handler);
  }

  /**
   * Starts a server whose handlers keep state per connection.
   *
   * @param listen the listen address
   * @param handlers creates the handler of a new connection
   * @return the running server
   * @throws IOException if the address can't be bound
   */
  public static PeerServer start(Address listen, Supplier<PeerHandler> handlers)
      throws IOException {
    EventLoopGroup group = eventLoops("peer-server-" + listen.port());
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new FramePipeline(decoder -> new Inbound(handlers.get())))
            .bind(listen.socketAddress())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      Future<?> unused = group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      throw new IOException("could not listen on " + listen, bound.cause());
    }
    return new PeerServer(group, bound.channel());
  }

  static EventLoopGroup eventLoops(String name) {
    return new MultiThreadIoEventLoopGroup(
        EVENT_LOOP_THREADS, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }

  /** Stops listening and closes the connections. Calls in progress get no reply. */
  public void stop() {
    listener.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }

  /** Passes frames to the handler and sends its replies back. */
  private static final class Inbound extends SimpleChannelInboundHandler<Frame> {
    private final PeerHandler handler;

    Inbound(PeerHandler handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame call) {
      CompletableFuture<Frame> unused =
          handler
              .handle(call)
              .whenComplete((reply, e) -> sendReply(context, call.getCorrelation(), reply, e));
    }

    private static void sendReply(
        ChannelHandlerContext context, long correlation, Frame reply, Throwable e) {
      if (e != null) {
        LOG.atWarn().setMessage("peer_call_failed").setCause(e).log();
        return;
      }
      Frame correlated = reply.toBuilder().setCorrelation(correlation).build();
      ChannelFuture unused = context.writeAndFlush(correlated, context.voidPromise());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      handler.disconnected();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.atDebug()
          .setMessage("peer_connection_closed")
          .addKeyValue("cause", cause.getMessage())
          .log();
      ChannelFuture unused = context.close();
    }
  }
}
