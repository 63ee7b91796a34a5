package org.sardinebay.net.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import java.util.function.Function;

/** Configures a channel for length-prefixed protobuf frames. */
final class FramePipeline extends ChannelInitializer<SocketChannel> {
  private final Function<FrameDecoder, ChannelHandler> inboundHandler;

  /**
   * Creates the initializer.
   *
   * @param inboundHandler creates the handler of the frames that a channel's decoder decodes
   */
  FramePipeline(Function<FrameDecoder, ChannelHandler> inboundHandler) {
    this.inboundHandler = inboundHandler;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    FrameDecoder decoder = new FrameDecoder();
    channel.pipeline().addLast(decoder, new FrameEncoder(), inboundHandler.apply(decoder));
  }
}
