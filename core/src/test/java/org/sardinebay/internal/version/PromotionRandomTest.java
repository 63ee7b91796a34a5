package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.sardinebay.Position;

class PromotionRandomTest {
  private static final long FAULT_PHASE_MILLIS = 20_000;
  private static final long RECOVERY_MILLIS = 10_000;

  @Property(seed = "20261203", tries = 300)
  void should_keep_one_primary_for_each_term_and_every_confirmed_entry(
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long seed) {
    PromotionSimulation threeMembers = new PromotionSimulation(seed, 3);
    PromotionSimulation fiveMembers = new PromotionSimulation(seed, 5);

    threeMembers.run(FAULT_PHASE_MILLIS);
    fiveMembers.run(FAULT_PHASE_MILLIS);

    // The simulation checks each promotion itself; this checks only that there were promotions.
    assertThat(threeMembers.promotions() + fiveMembers.promotions()).isPositive();
  }

  @Property(seed = "20261203", tries = 300)
  void should_end_with_one_published_primary_that_all_follow_once_faults_stop(
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long seed) {
    PromotionSimulation simulation = new PromotionSimulation(seed, 3);
    simulation.run(FAULT_PHASE_MILLIS);
    simulation.endFaults();

    simulation.run(RECOVERY_MILLIS);

    FakeMember primary = simulation.primary().orElseThrow();
    assertThat(simulation.record().orElseThrow())
        .satisfies(record -> assertCurrent(record, primary));
    assertThat(simulation.members())
        .allSatisfy(member -> assertThat(member.term()).isEqualTo(primary.term()));
    assertThat(simulation.confirmed())
        .anySatisfy(position -> assertThat(position.term()).isEqualTo(primary.term()));
    for (Position position : simulation.confirmed()) {
      assertThat(primary.contains(position)).as("%s", position).isTrue();
    }
  }

  /** The record names the primary, or is an abandoned claim that no member has received. */
  private static void assertCurrent(PromotionRecord record, FakeMember primary) {
    if (record.term() == primary.term()) {
      assertThat(record.primary()).contains(primary.id());
    } else {
      assertThat(record.term()).isGreaterThan(primary.term());
      assertThat(record.step()).isEqualTo(PromotionStep.FENCING);
    }
  }
}
