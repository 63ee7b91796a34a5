package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against statements that are taken on too late in a planned stop to be answered. */
class ShutdownPlanTest {
  @Test
  void should_keep_the_last_quarter_of_the_time_for_the_exit() {
    ShutdownPlan plan = new ShutdownPlan(1_000, 2_500, 6_000);

    assertThat(plan.answerAllAt()).isEqualTo(1_000 + 4_500);
  }

  @Test
  void should_refuse_new_statements_before_the_final_answers() {
    ShutdownPlan plan = new ShutdownPlan(1_000, 2_500, 6_000);

    assertThat(plan.closeAfterNextAt()).isEqualTo(1_000 + 2_500);
    assertThat(plan.closeIdleAt()).isBetween(plan.closeAfterNextAt(), plan.refuseAt());
    assertThat(plan.refuseAt()).isLessThan(plan.answerAllAt());
  }

  @Test
  void should_keep_its_order_when_the_time_is_short() {
    ShutdownPlan plan = new ShutdownPlan(1_000, 2_500, 500);

    assertThat(plan.closeAfterNextAt()).isBetween(1_000L, plan.refuseAt());
    assertThat(plan.closeIdleAt()).isBetween(plan.closeAfterNextAt(), plan.refuseAt());
    assertThat(plan.refuseAt()).isLessThanOrEqualTo(plan.answerAllAt());
  }
}
