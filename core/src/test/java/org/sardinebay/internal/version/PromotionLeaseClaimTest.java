package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinebay.internal.process.StoreEra;
import org.sardinebay.platform.ObjectVersion;

class PromotionLeaseClaimTest {
  private long now;
  private final StoreEra era = new StoreEra(() -> now);
  private final PromotionLeaseClaim claim = new PromotionLeaseClaim("host-1", "start-1", era);

  private static Optional<PromotionLeaseClaim.LeaseRecord> leaseRecord(String host, long token) {
    return Optional.of(new PromotionLeaseClaim.LeaseRecord(host, "start-9", token, 4));
  }

  @Nested
  class Lease {
    @Test
    void should_not_exist_before_the_first_write() {
      assertThat(claim.remainingMillis(0)).isZero();
      assertThat(claim.remainingMillis(1_000_000)).isZero();
    }

    @Test
    void should_start_when_the_write_was_sent() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);

      assertThat(claim.remainingMillis(900))
          .isEqualTo(200 + PromotionLeaseClaim.LEASE_MILLIS - 900);
      assertThat(claim.remainingMillis(200 + PromotionLeaseClaim.LEASE_MILLIS)).isZero();
    }

    @Test
    void should_end_when_another_host_holds_it() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);
      claim.onRecord(leaseRecord("host-2", 2), 8, 300);

      assertThat(claim.remainingMillis(301)).isZero();
    }
  }

  @Nested
  class Takeover {
    @Test
    void should_wait_until_the_record_was_unchanged_for_longer_than_a_lease() {
      claim.onRecord(leaseRecord("host-2", 3), 8, 100);
      claim.onRecord(leaseRecord("host-2", 3), 8, 1_000);

      assertThat(claim.mayAcquire(99 + PromotionLeaseClaim.TAKEOVER_MILLIS)).isFalse();
      assertThat(claim.mayAcquire(100 + PromotionLeaseClaim.TAKEOVER_MILLIS)).isTrue();
      assertThat(PromotionLeaseClaim.TAKEOVER_MILLIS)
          .isGreaterThan(PromotionLeaseClaim.LEASE_MILLIS);
    }

    @Test
    void should_wait_again_after_a_renewal() {
      claim.onRecord(leaseRecord("host-2", 3), 8, 100);
      claim.onRecord(leaseRecord("host-2", 3), 9, 1_000);

      assertThat(claim.mayAcquire(100 + PromotionLeaseClaim.TAKEOVER_MILLIS)).isFalse();
    }

    @Test
    void should_increase_the_token() {
      claim.onRecord(leaseRecord("host-2", 3), 8, 100);

      assertThat(claim.next().token()).isEqualTo(9);
    }

    @Test
    void should_treat_an_earlier_run_of_the_same_host_as_another_holder() {
      claim.onRecord(leaseRecord("host-1", 3), 8, 100);

      assertThat(claim.mayAcquire(200)).isFalse();
      assertThat(claim.next().token()).isEqualTo(9);
    }
  }

  @Nested
  class Renewal {
    @Test
    void should_keep_the_token() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);

      assertThat(claim.mayAcquire(201)).isTrue();
      assertThat(claim.next().token()).isEqualTo(1);
      assertThat(claim.next().renewals()).isEqualTo(2);
    }

    @Test
    void should_require_a_new_read_after_a_write_without_a_reply() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onUnanswered();

      assertThat(claim.known()).isFalse();
      assertThat(claim.mayAcquire(10_000)).isFalse();
    }

    @Test
    void should_keep_the_lease_of_the_last_write_when_the_next_gets_no_reply() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);
      claim.onUnanswered();

      assertThat(claim.remainingMillis(300)).isEqualTo(PromotionLeaseClaim.LEASE_MILLIS - 100);
    }

    @Test
    void should_give_up_the_lease_when_another_host_wrote_the_record() {
      claim.onRecord(Optional.empty(), 0, 100);
      claim.onWritten(claim.next(), 7, 200);
      claim.invalidate();
      assertThat(claim.remainingMillis(300)).isZero();

      claim.onWritten(claim.next(), 9, 400);
      claim.onUnanswered();
      claim.onRecord(leaseRecord("host-2", 9), 10, 500);
      assertThat(claim.remainingMillis(500)).isZero();
    }
  }

  @Nested
  class RestoredStore {
    private void restoreAt(long millis, long newEra) {
      now = millis;
      era.onResponse(newEra);
    }

    private void hold(long at) {
      claim.onRecord(Optional.empty(), 0, at);
      claim.onWritten(claim.next(), ObjectVersion.of(era.current(), 7), at);
    }

    @Test
    void should_not_grant_the_lease_before_earlier_ones_have_expired() {
      restoreAt(0, 1);
      restoreAt(10_000, 2);
      claim.onRecord(Optional.empty(), 0, 10_000);

      assertThat(claim.mayAcquire(9_999 + PromotionLeaseClaim.TAKEOVER_MILLIS)).isFalse();
      assertThat(claim.mayAcquire(10_000 + PromotionLeaseClaim.TAKEOVER_MILLIS)).isTrue();
    }

    @Test
    void should_not_be_acquired_with_a_record_read_before_it() {
      restoreAt(0, 1);
      claim.onRecord(Optional.empty(), 0, 5_000);
      restoreAt(6_000, 2);

      assertThat(claim.mayAcquire(6_000 + PromotionLeaseClaim.TAKEOVER_MILLIS)).isFalse();
    }

    @Test
    void should_raise_the_token_above_all_of_earlier_eras() {
      restoreAt(0, 1);
      claim.onRecord(leaseRecord("host-2", 3), ObjectVersion.of(1, 900), 0);
      long before = claim.next().token();
      restoreAt(10_000, 2);
      claim.onRecord(Optional.empty(), 0, 10_000);

      assertThat(claim.next().token()).isGreaterThan(before);
    }

    @Test
    void should_give_the_same_holder_a_new_token() {
      restoreAt(0, 1);
      hold(5_000);
      PromotionLeaseClaim.LeaseRecord held = claim.next();
      restoreAt(10_000, 2);
      claim.onRecord(Optional.of(held), ObjectVersion.of(2, 7), 10_000);

      assertThat(claim.next().token()).isGreaterThan(held.token());
    }

    @Test
    void should_not_grant_a_lease_for_a_write_that_it_answered() {
      restoreAt(0, 1);
      hold(5_000);
      PromotionLeaseClaim.LeaseRecord renewal = claim.next();

      assertThat(claim.onWritten(renewal, ObjectVersion.of(2, 8), 6_000)).isFalse();
      assertThat(claim.remainingMillis(6_000)).isZero();
      assertThat(claim.known()).isFalse();
    }
  }
}
