package org.sardinebay.net.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.net.peer.generated.ConfigCall;
import org.sardinebay.net.peer.generated.Frame;

/** Guards against frames that are cut or joined wrongly, and against buffers for absurd lengths. */
class FrameCodecTest {
  private static final Frame FRAME =
      Frame.newBuilder()
          .setCorrelation(7)
          .setConfigCall(ConfigCall.newBuilder().setProcess("host-1"))
          .build();

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new FrameDecoder(), new FrameEncoder());

  private ByteBuf encoded(Frame frame) {
    channel.writeOutbound(frame);
    return channel.readOutbound();
  }

  @Nested
  class Decoding {
    @Test
    void should_wait_for_the_whole_frame() {
      ByteBuf bytes = encoded(FRAME);
      while (bytes.readableBytes() > 1) {
        assertThat(channel.writeInbound(bytes.readRetainedSlice(1))).isFalse();
      }

      assertThat(channel.writeInbound(bytes)).isTrue();
      assertThat((Frame) channel.readInbound()).isEqualTo(FRAME);
    }

    @Test
    void should_separate_frames_that_arrive_together() {
      channel.writeInbound(Unpooled.wrappedBuffer(encoded(FRAME), encoded(FRAME)));

      assertThat((Frame) channel.readInbound()).isEqualTo(FRAME);
      assertThat((Frame) channel.readInbound()).isEqualTo(FRAME);
    }

    @Test
    void should_reject_lengths_that_no_frame_has() {
      for (int length : new int[] {-1, Integer.MAX_VALUE}) {
        assertThatThrownBy(() -> channel.writeInbound(Unpooled.copyInt(length, 0)))
            .isInstanceOf(DecoderException.class);
      }
    }

    @Test
    void should_reject_what_is_no_protobuf_message() {
      ByteBuf bytes = Unpooled.copyInt(1, -1).writerIndex(5);

      assertThatThrownBy(() -> channel.writeInbound(bytes)).isInstanceOf(DecoderException.class);
    }
  }
}
