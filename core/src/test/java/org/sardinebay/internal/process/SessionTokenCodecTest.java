package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.CallerId;
import org.sardinebay.DatabaseId;
import org.sardinebay.Position;
import org.sardinebay.SessionToken;

class SessionTokenCodecTest {
  private static final CallerId CALLER = new CallerId("tablet-7");
  private static final TokenKey OLD_KEY = new TokenKey("k1", "an old secret of thirty-two letters");
  private static final TokenKey NEW_KEY = new TokenKey("k2", "a new secret of thirty-two letters!");
  private static final SessionToken TOKEN =
      SessionToken.EMPTY.advance(new DatabaseId("contracts-1"), new Position(3, 17));

  private final SessionTokenCodec codec = new SessionTokenCodec(List.of(OLD_KEY));

  @Property(seed = "7")
  void should_reject_text_that_it_did_not_encode(@ForAll String text) {
    assertThat(codec.decode(text, CALLER)).isEmpty();
  }

  @Nested
  class Decoding {
    @Test
    void should_decode_what_it_encoded() {
      String text = codec.encode(TOKEN, CALLER);

      assertThat(codec.decode(text, CALLER).orElseThrow().positions()).isEqualTo(TOKEN.positions());
    }

    @Test
    void should_reject_the_token_of_another_caller() {
      String text = codec.encode(TOKEN, CALLER);

      assertThat(codec.decode(text, new CallerId("tablet-8"))).isEmpty();
    }

    @Test
    void should_reject_a_truncated_or_modified_token() {
      String text = codec.encode(TOKEN, CALLER);

      assertThat(codec.decode(text.substring(0, text.length() - 4), CALLER)).isEmpty();
      assertThat(codec.decode(text.replace("k1.", "k1.A"), CALLER)).isEmpty();
    }
  }

  @Nested
  class Rotation {
    @Test
    void should_accept_tokens_of_the_previous_key() {
      String text = codec.encode(TOKEN, CALLER);

      SessionTokenCodec codecWithBothKeys = new SessionTokenCodec(List.of(NEW_KEY, OLD_KEY));

      assertThat(codecWithBothKeys.decode(text, CALLER)).isPresent();
    }

    @Test
    void should_reject_tokens_of_a_removed_key() {
      String text = codec.encode(TOKEN, CALLER);

      SessionTokenCodec codecWithNewKeyOnly = new SessionTokenCodec(List.of(NEW_KEY));

      assertThat(codecWithNewKeyOnly.decode(text, CALLER)).isEmpty();
    }
  }
}
