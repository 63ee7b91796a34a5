package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerConcurrencyLimitTest {
  private final PeerConcurrencyLimit concurrencyLimit = new PeerConcurrencyLimit();

  private int offerWhilePermitted(long now) {
    int offers = 0;
    while (concurrencyLimit.permits(now)) {
      concurrencyLimit.offered();
      offers++;
    }
    return offers;
  }

  @Nested
  class Limit {
    @Test
    void should_start_with_a_limit_of_one_statement() {
      assertThat(offerWhilePermitted(0)).isEqualTo(1);
    }

    @Test
    void should_raise_the_limit_with_each_accepted_statement() {
      for (int i = 0; i < 3; i++) {
        concurrencyLimit.offered();
        concurrencyLimit.accepted();
      }

      assertThat(offerWhilePermitted(0)).isEqualTo(4);
    }

    @Test
    void should_suspend_offers_and_halve_the_limit_after_a_refusal() {
      for (int i = 0; i < 4; i++) {
        concurrencyLimit.offered();
        concurrencyLimit.accepted();
      }
      concurrencyLimit.offered();
      concurrencyLimit.refused(1_000);

      assertThat(concurrencyLimit.permits(1_099)).isFalse();
      assertThat(offerWhilePermitted(1_100)).isEqualTo(2);
    }
  }

  @Nested
  class Policy {
    @Test
    void should_offer_nothing_while_the_queue_is_short() {
      assertThat(OverflowPolicy.shouldOffer(OverflowPolicy.QUEUE_THRESHOLD - 1, true, 0)).isFalse();
    }

    @Test
    void should_offer_when_the_queue_is_long() {
      assertThat(OverflowPolicy.shouldOffer(OverflowPolicy.QUEUE_THRESHOLD, false, 0)).isTrue();
    }

    @Test
    void should_offer_only_statements_that_need_the_primary_when_this_host_has_none() {
      long thresholdMillis = OverflowPolicy.NO_PRIMARY_THRESHOLD_MILLIS;

      assertThat(OverflowPolicy.shouldOffer(0, true, thresholdMillis)).isTrue();
      assertThat(OverflowPolicy.shouldOffer(0, true, thresholdMillis - 1)).isFalse();
      assertThat(OverflowPolicy.shouldOffer(0, false, thresholdMillis)).isFalse();
    }
  }

  /**
   * Simulates the load that the policy is designed for: all callers connect to the same one of
   * three hosts.
   */
  @Nested
  class AllCallersAtOneHost {
    private static final int CONNECTIONS = 3;
    private static final long SERVICE_TIME_MILLIS = 30;

    /** Returns how many of 1,000 simultaneous statements start within 1 s. */
    private int startedStatements(boolean offers) {
      PeerConcurrencyLimit[] concurrencyLimits = {
        new PeerConcurrencyLimit(), new PeerConcurrencyLimit()
      };
      long[][] busyUntilMillis = new long[3][CONNECTIONS];
      int waiting = 1_000;
      int started = 0;
      for (long now = 0; now < 1_000; now++) {
        for (int host = 0; host < 3; host++) {
          for (int i = 0; i < CONNECTIONS && waiting > 0; i++) {
            if (busyUntilMillis[host][i] > now) {
              continue;
            }
            if (host > 0 && busyUntilMillis[host][i] == now && now > 0) {
              concurrencyLimits[host - 1].accepted();
            }
            boolean mayStart = host == 0 || (offers && concurrencyLimits[host - 1].permits(now));
            if (mayStart && OverflowPolicy.shouldOffer(host == 0 ? 99 : waiting, false, 0)) {
              if (host > 0) {
                concurrencyLimits[host - 1].offered();
              }
              busyUntilMillis[host][i] = now + SERVICE_TIME_MILLIS;
              waiting--;
              started++;
            }
          }
        }
      }
      return started;
    }

    @Test
    void should_start_more_than_twice_as_many_statements_with_offers_to_other_hosts() {
      assertThat(startedStatements(true)).isGreaterThan(2 * startedStatements(false));
    }
  }
}
