package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DutyClaimTest {
  private final DutyClaim claim = new DutyClaim("host-1", "start-1");

  private static Optional<DutyClaim.Holding> holding(String host, long token) {
    return Optional.of(new DutyClaim.Holding(host, "start-9", token, 4));
  }

  @Nested
  class Lease {
    @Test
    void should_not_exist_before_the_first_write() {
      assertThat(claim.rightMillis(0)).isZero();
      assertThat(claim.rightMillis(1_000_000)).isZero();
    }

    @Test
    void should_start_when_the_write_was_sent() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);

      assertThat(claim.rightMillis(900)).isEqualTo(200 + DutyClaim.LEASE_MILLIS - 900);
      assertThat(claim.rightMillis(200 + DutyClaim.LEASE_MILLIS)).isZero();
    }

    @Test
    void should_end_when_another_host_holds_it() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);
      claim.onRecord(holding("host-2", 2), 8, 300);

      assertThat(claim.rightMillis(301)).isZero();
    }
  }

  @Nested
  class Takeover {
    @Test
    void should_wait_until_the_record_was_unchanged_for_longer_than_a_lease() {
      claim.onRecord(holding("host-2", 3), 8, 100);
      claim.onRecord(holding("host-2", 3), 8, 1_000);

      assertThat(claim.mayWrite(99 + DutyClaim.TAKEOVER_MILLIS)).isFalse();
      assertThat(claim.mayWrite(100 + DutyClaim.TAKEOVER_MILLIS)).isTrue();
      assertThat(DutyClaim.TAKEOVER_MILLIS).isGreaterThan(DutyClaim.LEASE_MILLIS);
    }

    @Test
    void should_wait_again_after_a_renewal() {
      claim.onRecord(holding("host-2", 3), 8, 100);
      claim.onRecord(holding("host-2", 3), 9, 1_000);

      assertThat(claim.mayWrite(100 + DutyClaim.TAKEOVER_MILLIS)).isFalse();
    }

    @Test
    void should_increase_the_token() {
      claim.onRecord(holding("host-2", 3), 8, 100);

      assertThat(claim.next().token()).isEqualTo(4);
    }

    @Test
    void should_treat_an_earlier_run_of_the_same_host_as_another_holder() {
      claim.onRecord(holding("host-1", 3), 8, 100);

      assertThat(claim.mayWrite(200)).isFalse();
      assertThat(claim.next().token()).isEqualTo(4);
    }
  }

  @Nested
  class Renewal {
    @Test
    void should_keep_the_token() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);

      assertThat(claim.mayWrite(201)).isTrue();
      assertThat(claim.next().token()).isEqualTo(1);
      assertThat(claim.next().renewals()).isEqualTo(2);
    }

    @Test
    void should_require_a_new_read_after_a_write_without_a_reply() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onUnanswered();

      assertThat(claim.known()).isFalse();
      assertThat(claim.mayWrite(10_000)).isFalse();
    }

    @Test
    void should_keep_the_lease_of_the_last_write_when_the_next_gets_no_reply() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);
      claim.onUnanswered();

      assertThat(claim.rightMillis(300)).isEqualTo(DutyClaim.LEASE_MILLIS - 100);
    }

    @Test
    void should_give_up_the_lease_when_another_host_wrote_the_record() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);
      claim.forget();
      assertThat(claim.rightMillis(300)).isZero();

      claim.onWritten(claim.next(), 9, 400);
      claim.onUnanswered();
      claim.onRecord(holding("host-2", 9), 10, 500);
      assertThat(claim.rightMillis(500)).isZero();
    }
  }
}
