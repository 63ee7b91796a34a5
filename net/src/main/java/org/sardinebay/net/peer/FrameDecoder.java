package org.sardinebay.net.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;
import org.sardinebay.net.peer.generated.Frame;

/**
 * Decodes length-prefixed frames. One handler in place of Netty's two, because a host's calls
 * mostly run interpreted, where each handler costs as much as the parsing.
 */
final class FrameDecoder extends ByteToMessageDecoder {
  private static final int MAX_FRAME_BYTES = 16 << 20;

  private long receivedBytes;

  /**
   * Returns how many bytes the connection has received, whole frames or not. Called on the
   * connection's event loop.
   */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Returns whether the connection has received a part of a frame that is not complete. */
  boolean withinFrame() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf part) {
      receivedBytes += part.readableBytes();
    }
    super.channelRead(context, message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws InvalidProtocolBufferException {
    if (in.readableBytes() < FrameEncoder.LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 0 || length > MAX_FRAME_BYTES) {
      // Otherwise the rest of the frame would be decoded before the connection is closed.
      in.skipBytes(in.readableBytes());
      throw new TooLongFrameException("a frame has " + length + " bytes");
    }
    if (in.readableBytes() < FrameEncoder.LENGTH_BYTES + length) {
      return;
    }
    byte[] body = new byte[length];
    in.skipBytes(FrameEncoder.LENGTH_BYTES).readBytes(body);
    out.add(Frame.parseFrom(body));
  }

  /** Answers without the reflective lookup of Netty's annotation, which a start would pay for. */
  @Override
  public boolean isSharable() {
    return false;
  }
}
