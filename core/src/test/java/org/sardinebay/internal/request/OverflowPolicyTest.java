package org.sardinebay.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OverflowPolicyTest {
  private static final long CUT_OFF_MILLIS = OverflowPolicy.NO_PRIMARY_THRESHOLD_MILLIS;

  @Test
  void should_offer_statements_when_several_wait() {
    assertThat(OverflowPolicy.shouldOffer(OverflowPolicy.QUEUE_THRESHOLD - 1, true, 0)).isFalse();
    assertThat(OverflowPolicy.shouldOffer(OverflowPolicy.QUEUE_THRESHOLD, false, 0)).isTrue();
  }

  /** Guards against writes that wait at a host which can't rely on the primary. */
  @Test
  void should_let_writes_wait_elsewhere_when_this_host_has_had_no_primary_for_long() {
    assertThat(OverflowPolicy.shouldOffer(0, true, CUT_OFF_MILLIS)).isTrue();
    assertThat(OverflowPolicy.mayWaitThere(true, CUT_OFF_MILLIS)).isTrue();
  }

  /** Guards against load that is only moved from one crowded host to another. */
  @Test
  void should_not_let_statements_wait_elsewhere_that_could_run_here() {
    assertThat(OverflowPolicy.mayWaitThere(true, CUT_OFF_MILLIS - 1)).isFalse();
    assertThat(OverflowPolicy.mayWaitThere(false, CUT_OFF_MILLIS)).isFalse();
  }
}
