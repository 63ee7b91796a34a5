package org.sardinebay.standins.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.sardinebay.Address;

/**
 * An accepted connection and the corresponding connection to the target. A connection that has lost
 * bytes forwards nothing more in the affected direction and is closed when the cut ends, so that no
 * truncated message is followed by later bytes.
 */
final class RelayedConnection {
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  private final Link link;
  private final Channel sourceChannel;
  private final Address forward;
  private final Pipe toTarget;
  private final Pipe toSource;
  private Channel targetChannel;
  private boolean closed;

  RelayedConnection(Link link, Channel sourceChannel, Address forward) {
    this.link = link;
    this.sourceChannel = sourceChannel;
    this.forward = forward;
    this.toTarget = new Pipe(Flow.TO_TARGET);
    this.toSource = new Pipe(Flow.TO_SOURCE);
  }

  void start() {
    sourceChannel.pipeline().addLast(new Reader(toTarget));
    if (link.cut() != Cut.NONE) {
      toTarget.lost = true;
      toSource.lost = true;
      return;
    }
    new Bootstrap()
        .group(sourceChannel.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new Reader(toSource))
        .connect(forward.socketAddress())
        .addListener((ChannelFutureListener) future -> connected(future.channel(), future.cause()));
  }

  void linkChanged() {
    if (link.cut() == Cut.NONE) {
      if (toTarget.lost || toSource.lost) {
        closeBoth();
      }
      return;
    }
    toTarget.dropIfCut();
    toSource.dropIfCut();
  }

  void silence() {
    toTarget.drop();
    toSource.drop();
  }

  private void connected(Channel channel, Throwable failure) {
    targetChannel = channel;
    if (failure != null || closed) {
      closeBoth();
      return;
    }
    toTarget.flush();
  }

  private void closeBoth() {
    closed = true;
    toTarget.clear();
    toSource.clear();
    closeQuietly(sourceChannel);
    if (targetChannel != null) {
      closeQuietly(targetChannel);
    }
    link.closed(this);
  }

  private static void closeQuietly(Channel channel) {
    var unused = channel.close();
  }

  /** Passes the bytes and the end of stream of one channel to a pipe. */
  private static final class Reader extends ChannelInboundHandlerAdapter {
    private final Pipe pipe;

    Reader(Pipe pipe) {
      this.pipe = pipe;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      pipe.add((ByteBuf) message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      pipe.end();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      closeQuietly(context.channel());
    }
  }

  /** Bytes to forward in one direction; an empty buffer marks the end of the stream. */
  private record Chunk(ByteBuf bytes, long dueNanos) {
    boolean isEnd() {
      return !bytes.isReadable();
    }
  }

  /** Forwards the bytes of one direction in order, each when its delay is over. */
  private final class Pipe {
    private final Flow flow;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private long lastDueNanos = Long.MIN_VALUE;
    private boolean lost;

    Pipe(Flow flow) {
      this.flow = flow;
    }

    void add(ByteBuf bytes) {
      if (closed || lost || link.cut().drops(flow)) {
        lost = true;
        bytes.release();
        return;
      }
      link.countRead(flow, bytes.readableBytes());
      long delayNanos = TimeUnit.MILLISECONDS.toNanos(link.delayMillis());
      lastDueNanos = Math.max(lastDueNanos, System.nanoTime() + delayNanos);
      chunks.add(new Chunk(bytes, lastDueNanos));
      var unused =
          sourceChannel
              .eventLoop()
              .schedule(this::flush, lastDueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    void end() {
      add(Unpooled.EMPTY_BUFFER);
      boolean targetGone = targetChannel == null || !targetChannel.isOpen();
      if (!closed && lost && targetGone && !sourceChannel.isOpen()) {
        closeBoth();
      }
    }

    void flush() {
      Channel out = flow == Flow.TO_TARGET ? targetChannel : sourceChannel;
      if (out == null) {
        return;
      }
      long now = System.nanoTime();
      while (!chunks.isEmpty() && chunks.peek().dueNanos() <= now) {
        Chunk chunk = chunks.poll();
        ChannelFuture write = out.writeAndFlush(chunk.bytes());
        if (chunk.isEnd()) {
          write.addListener(future -> closeBoth());
        }
      }
    }

    void dropIfCut() {
      if (link.cut().drops(flow) && !chunks.isEmpty()) {
        drop();
      }
    }

    void drop() {
      lost = true;
      clear();
    }

    void clear() {
      chunks.forEach(chunk -> chunk.bytes().release());
      chunks.clear();
    }
  }
}
