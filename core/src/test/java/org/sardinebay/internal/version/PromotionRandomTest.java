package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.sardinebay.Position;

class PromotionRandomTest {
  private static final long FAULTS_MILLIS = 20_000;
  private static final long CALM_MILLIS = 10_000;

  @Property(seed = "20261203", tries = 300)
  void should_keep_one_primary_for_each_term_and_every_confirmed_entry(
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long seed) {
    PromotionSimulation three = new PromotionSimulation(seed, 3);
    PromotionSimulation five = new PromotionSimulation(seed, 5);

    three.run(FAULTS_MILLIS);
    five.run(FAULTS_MILLIS);

    // The simulation asserts at each promotion; here only that it did promote.
    assertThat(three.promotions() + five.promotions()).isPositive();
  }

  @Property(seed = "20261203", tries = 300)
  void should_end_with_one_published_primary_that_all_follow_once_faults_stop(
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long seed) {
    PromotionSimulation simulation = new PromotionSimulation(seed, 3);
    simulation.run(FAULTS_MILLIS);
    simulation.endFaults();

    simulation.run(CALM_MILLIS);

    FakeMember leader = simulation.leader().orElseThrow();
    assertThat(simulation.record().orElseThrow())
        .satisfies(record -> assertCurrent(record, leader));
    assertThat(simulation.members())
        .allSatisfy(member -> assertThat(member.term()).isEqualTo(leader.term()));
    assertThat(simulation.confirmed())
        .anySatisfy(position -> assertThat(position.term()).isEqualTo(leader.term()));
    for (Position position : simulation.confirmed()) {
      assertThat(leader.holds(position)).as("%s", position).isTrue();
    }
  }

  /** The record names the leader, or is a claim that no driver pursues and no member has seen. */
  private static void assertCurrent(PromotionRecord record, FakeMember leader) {
    if (record.term() == leader.term()) {
      assertThat(record.primary()).contains(leader.id());
    } else {
      assertThat(record.term()).isGreaterThan(leader.term());
      assertThat(record.step()).isEqualTo(PromotionStep.FENCING);
    }
  }
}
