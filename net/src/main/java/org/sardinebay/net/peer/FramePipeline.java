package org.sardinebay.net.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.Supplier;
import org.sardinebay.net.peer.generated.Frame;

/** Configures a channel for length-prefixed protobuf frames. */
final class FramePipeline extends ChannelInitializer<SocketChannel> {
  static final int MAX_FRAME_BYTES = 16 << 20;

  private static final int LENGTH_BYTES = 4;

  private final Supplier<ChannelHandler> inboundHandler;

  FramePipeline(Supplier<ChannelHandler> inboundHandler) {
    this.inboundHandler = inboundHandler;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new ProtobufEncoder());
    pipeline.addLast(inboundHandler.get());
  }
}
