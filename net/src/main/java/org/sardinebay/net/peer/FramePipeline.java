package org.sardinebay.net.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import java.util.function.Supplier;

/** Configures a channel for length-prefixed protobuf frames. */
final class FramePipeline extends ChannelInitializer<SocketChannel> {
  private final Supplier<ChannelHandler> inboundHandler;

  FramePipeline(Supplier<ChannelHandler> inboundHandler) {
    this.inboundHandler = inboundHandler;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    channel.pipeline().addLast(new FrameDecoder(), new FrameEncoder(), inboundHandler.get());
  }
}
