package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerRoomTest {
  private final PeerRoom room = new PeerRoom();

  private int offersAtOnce(long now) {
    int offers = 0;
    while (room.permits(now)) {
      room.offered();
      offers++;
    }
    return offers;
  }

  @Nested
  class Permits {
    @Test
    void should_begin_with_a_single_statement() {
      assertThat(offersAtOnce(0)).isEqualTo(1);
    }

    @Test
    void should_grow_with_each_statement_taken() {
      for (int i = 0; i < 3; i++) {
        room.offered();
        room.taken();
      }

      assertThat(offersAtOnce(0)).isEqualTo(4);
    }

    @Test
    void should_pause_and_halve_after_a_refusal() {
      for (int i = 0; i < 4; i++) {
        room.offered();
        room.taken();
      }
      room.offered();
      room.refused(1_000);

      assertThat(room.permits(1_099)).isFalse();
      assertThat(offersAtOnce(1_100)).isEqualTo(2);
    }
  }

  @Nested
  class Policy {
    @Test
    void should_offer_nothing_while_few_statements_wait() {
      assertThat(OverflowPolicy.offers(OverflowPolicy.WAITING - 1, true, 0)).isFalse();
    }

    @Test
    void should_offer_when_the_line_is_long() {
      assertThat(OverflowPolicy.offers(OverflowPolicy.WAITING, false, 0)).isTrue();
    }

    @Test
    void should_offer_only_what_needs_the_primary_when_there_is_none_here() {
      long without = OverflowPolicy.WITHOUT_PRIMARY_MILLIS;

      assertThat(OverflowPolicy.offers(0, true, without)).isTrue();
      assertThat(OverflowPolicy.offers(0, true, without - 1)).isFalse();
      assertThat(OverflowPolicy.offers(0, false, without)).isFalse();
    }
  }

  /** The load that the policy answers: all callers come to one host of three. */
  @Nested
  class AllCallersAtOneHost {
    private static final int CONNECTIONS = 3;
    private static final long WORK_MILLIS = 30;

    /** Statements done within a second, of 1,000 that arrive at once, with or without offers. */
    private int served(boolean offers) {
      PeerRoom[] rooms = {new PeerRoom(), new PeerRoom()};
      long[][] busyUntil = new long[3][CONNECTIONS];
      int waiting = 1_000;
      int done = 0;
      for (long now = 0; now < 1_000; now++) {
        for (int host = 0; host < 3; host++) {
          for (int i = 0; i < CONNECTIONS && waiting > 0; i++) {
            if (busyUntil[host][i] > now) {
              continue;
            }
            if (host > 0 && busyUntil[host][i] == now && now > 0) {
              rooms[host - 1].taken();
            }
            boolean mayUse = host == 0 || (offers && rooms[host - 1].permits(now));
            if (mayUse && OverflowPolicy.offers(host == 0 ? 99 : waiting, false, 0)) {
              if (host > 0) {
                rooms[host - 1].offered();
              }
              busyUntil[host][i] = now + WORK_MILLIS;
              waiting--;
              done++;
            }
          }
        }
      }
      return done;
    }

    @Test
    void should_serve_more_than_twice_as_many_callers_with_the_other_hosts() {
      assertThat(served(true)).isGreaterThan(2 * served(false));
    }
  }
}
