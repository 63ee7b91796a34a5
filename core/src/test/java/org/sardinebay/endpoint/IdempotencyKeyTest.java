package org.sardinebay.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.sardinebay.CallerId;
import org.sardinebay.CallerRequest;
import org.sardinebay.DatabaseId;
import org.sardinebay.RequestKind;

/**
 * A key that is used for two requests must be detected even if a 32-bit checksum of the two is
 * equal: the second request would otherwise get the answer of the first.
 */
class IdempotencyKeyTest {
  private static final int MAX_STATEMENTS = 1_000_000;
  private static final long SEED = 17;

  @Test
  void should_have_different_fingerprints_for_statements_with_the_same_checksum() {
    List<String> statements = statementsWithTheSameChecksum();

    assertThat(key(statements.get(0)).fingerprint())
        .isNotEqualTo(key(statements.get(1)).fingerprint());
  }

  @Test
  void should_be_equal_for_a_repeated_request() {
    assertThat(key("append pump:17")).isEqualTo(key("append pump:17"));
  }

  private static IdempotencyKey key(String statement) {
    CallerRequest request =
        new CallerRequest(
            "r-1",
            new CallerId("tablet-7"),
            new DatabaseId("contracts-1"),
            RequestKind.WRITE,
            statement,
            Optional.empty(),
            OptionalLong.empty(),
            false,
            Optional.of("visit-991"),
            1_000,
            Optional.empty());
    return IdempotencyKey.of(request, "visit-991");
  }

  private static List<String> statementsWithTheSameChecksum() {
    Random random = new Random(SEED);
    Map<Long, String> byChecksum = new HashMap<>();
    for (int i = 0; i < MAX_STATEMENTS; i++) {
      String statement = "append pump:" + random.nextLong();
      CRC32C checksum = new CRC32C();
      checksum.update((RequestKind.WRITE + statement).getBytes(StandardCharsets.UTF_8));
      String other = byChecksum.put(checksum.getValue(), statement);
      if (other != null) {
        return List.of(other, statement);
      }
    }
    throw new IllegalStateException("no two statements have the same checksum");
  }
}
