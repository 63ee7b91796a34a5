package org.sardinebay.standins.endpoint;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

class ReplicationRandomTest {
  private static final int STEPS = 1_000;
  private static final int MIN_CONFIRMED_ENTRIES = 5;

  @Property(seed = "20261203", tries = 500, shrinking = ShrinkingMode.OFF)
  void should_keep_entries_that_a_majority_confirmed(@ForAll long seed) {
    ReplicationCluster cluster = new ReplicationCluster(new Random(seed));

    for (int i = 0; i < STEPS; i++) {
      cluster.step();
    }
    cluster.heal();

    Statistics.label("enough entries were confirmed")
        .collect(cluster.confirmedEntries() >= MIN_CONFIRMED_ENTRIES)
        .coverage(runs -> runs.check(true).percentage(share -> share > 90));
  }
}
