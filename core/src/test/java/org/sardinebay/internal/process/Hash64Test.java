package org.sardinebay.internal.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Guards against hosts that order others differently, and against orders that favour one host. */
class Hash64Test {
  @Test
  void should_be_the_same_in_every_build() {
    assertEquals(0x5544a30520be2bf3L, Hash64.of("contracts-db", "front-waco-hall-1"));
  }

  @Test
  void should_tell_where_one_text_ends() {
    assertNotEquals(Hash64.of("ab", "c"), Hash64.of("a", "bc"));
  }

  @Test
  void should_make_similar_hosts_first_about_equally_often() {
    int keys = 10_000;
    int[] first = new int[10];
    for (int key = 0; key < keys; key++) {
      int best = 0;
      for (int host = 1; host < first.length; host++) {
        if (score(key, host) < score(key, best)) {
          best = host;
        }
      }
      first[best]++;
    }

    // Five standard deviations of a binomial distribution.
    assertTrue(
        Arrays.stream(first).allMatch(count -> Math.abs(count - 1_000) < 150),
        Arrays.toString(first));
  }

  private static long score(int key, int host) {
    return Hash64.of("tenant" + key, "front-waco-hall-" + host);
  }
}
