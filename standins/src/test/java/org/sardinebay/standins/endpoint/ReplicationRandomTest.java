package org.sardinebay.standins.endpoint;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

class ReplicationRandomTest {
  private static final int STEPS = 1_000;
  private static final int ENOUGH_CONFIRMED = 5;

  @Property(seed = "20261203", tries = 500, shrinking = ShrinkingMode.OFF)
  void should_keep_what_a_majority_confirmed(@ForAll long seed) {
    ReplicationCluster cluster = new ReplicationCluster(new Random(seed));

    for (int i = 0; i < STEPS; i++) {
      cluster.step();
    }
    cluster.heal();

    Statistics.label("much was confirmed")
        .collect(cluster.confirmedEntries() >= ENOUGH_CONFIRMED)
        .coverage(runs -> runs.check(true).percentage(share -> share > 90));
  }
}
