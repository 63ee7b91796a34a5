package org.sardinebay.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.net.http.Json;
import org.sardinebay.net.peer.generated.ConfigRecord;
import org.sardinebay.platform.ObjectKey;
import org.sardinebay.platform.PlatformObject;

/** Guards against statements that wait behind large configurations on a slow link. */
class RecordEncoderTest {
  private final RecordEncoder encoder = new RecordEncoder();

  private static PlatformObject configuration(int version, int routes) {
    ObjectNode body = Json.newObject().put("version", version);
    ArrayNode list = body.putArray("routes");
    for (int i = 0; i < routes; i++) {
      list.addObject().put("name", "r-" + i).put("timeoutMs", 800).put("targetLatencyMs", 251);
    }
    return new PlatformObject(new ObjectKey("configuration", "main"), version, false, body);
  }

  @Nested
  class LargeRecords {
    @Test
    void should_take_a_fraction_of_their_size_and_stay_the_same() {
      PlatformObject large = configuration(3, 1_000);

      ConfigRecord message = encoder.encode(large, true);

      assertThat(message.getBody().size())
          .isLessThan(encoder.encode(large, false).getBody().size() / 4);
      assertThat(FeedCodec.toObject(message)).contains(large);
    }

    @Test
    void should_be_sent_plain_to_a_host_of_an_earlier_build() {
      PlatformObject large = configuration(3, 1_000);

      ConfigRecord message = encoder.encode(large, false);

      assertThat(message.getCompressed()).isFalse();
      assertThat(FeedCodec.toObject(message)).contains(large);
    }

    @Test
    void should_be_encoded_again_when_a_newer_version_arrives() {
      encoder.encode(configuration(3, 1_000), true);

      PlatformObject newer = configuration(4, 1_001);

      assertThat(FeedCodec.toObject(encoder.encode(newer, true))).contains(newer);
    }
  }

  @Test
  void should_not_compress_small_records() {
    assertThat(encoder.encode(configuration(3, 10), true).getCompressed()).isFalse();
  }

  /** One malformed message must not end the feed of a process. */
  @Test
  void should_report_a_body_that_cannot_be_decompressed_as_unreadable() {
    ConfigRecord damaged =
        encoder.encode(configuration(3, 1_000), true).toBuilder()
            .setBody(ByteString.copyFromUtf8("not compressed"))
            .build();

    assertThat(FeedCodec.toObject(damaged)).isEmpty();
  }

  @Test
  void should_report_a_truncated_body_as_unreadable() {
    ConfigRecord whole = encoder.encode(configuration(3, 1_000), true);
    ConfigRecord cut = whole.toBuilder().setBody(whole.getBody().substring(0, 100)).build();

    assertThat(FeedCodec.toObject(cut)).isEmpty();
  }
}
