package org.sardinebay.net.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import org.sardinebay.net.peer.generated.Frame;

/** Encodes frames with their length before them, in one buffer and so one system call. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {
  static final int LENGTH_BYTES = Integer.BYTES;

  FrameEncoder() {
    super(Frame.class);
  }

  @Override
  protected ByteBuf allocateBuffer(
      ChannelHandlerContext context, Frame frame, boolean preferDirect) {
    return context.alloc().ioBuffer(LENGTH_BYTES + frame.getSerializedSize());
  }

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
    byte[] body = frame.toByteArray();
    out.writeInt(body.length).writeBytes(body);
  }

  /** Answers without the reflective lookup of Netty's annotation, which a start would pay for. */
  @Override
  public boolean isSharable() {
    return false;
  }
}
