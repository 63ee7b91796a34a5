package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a confirmed configuration that an undisturbed host does not apply in time. */
class ConfigurationBoundTest {
  /** The time within which a configuration must be applied, in milliseconds. */
  private static final long BOUND_MILLIS = 5_000;

  /** How long after its last disruption a host, or the store, counts as undisturbed. */
  private static final long UNDISTURBED_AFTER_MILLIS = 6_000;

  private static final long CHECK_AGAIN_MILLIS = 500;
  private static final long END_MILLIS = 60_000;
  private static final int SEEDS = Integer.getInteger("sardinebay.seeds", 100);

  @ParameterizedTest
  @ValueSource(ints = {0, 100, 200, 300, 400})
  void should_hold_beside_hosts_that_are_cut_off_refused_silent_slow_or_killed(int firstSeed) {
    List<String> late = new ArrayList<>();
    for (int seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
      late.addAll(new Day(seed).lateHosts());
    }
    assertThat(late).isEmpty();
  }

  @Test
  void should_cost_few_calls_of_the_store_on_a_day_without_disruption() {
    SimulatedFleet fleet = new SimulatedFleet(87, 6, new Random(1));

    fleet.runUntil(END_MILLIS);

    // Twelve hosts each 2 s, the others once.
    assertThat(fleet.storeCalls()).isLessThanOrEqualTo(12 * 31 + 75);
  }

  /**
   * A seeded day. Times at which hosts and the store were last disturbed decide who must keep up.
   */
  private static final class Day {
    private final int seed;
    private final Random random;
    private final SimulatedFleet fleet;
    private final long[] disturbedUntil;
    private final List<String> late = new ArrayList<>();
    private long storeDisturbedUntil;

    private Day(int seed) {
      this.seed = seed;
      this.random = new Random(seed);
      this.fleet = new SimulatedFleet(14 + random.nextInt(80), 2 + random.nextInt(5), random);
      this.disturbedUntil = new long[fleet.size()];
    }

    private List<String> lateHosts() {
      int disruptions = 2 + random.nextInt(4);
      for (int i = 0; i < disruptions; i++) {
        fleet.at(5_000 + random.nextInt(20_000), this::disrupt);
      }
      for (int i = 0; i < 12; i++) {
        fleet.at(4_000 + random.nextInt(40_000), this::change);
      }
      fleet.runUntil(END_MILLIS);
      return late;
    }

    private void disrupt() {
      double share = 0.1 + 0.5 * random.nextDouble();
      long millis = 1_000L + random.nextInt(8_000);
      int kind = random.nextInt(5);
      if (kind == 0) {
        fleet.silenceConnections();
      }
      for (int i = 0; i < fleet.size(); i++) {
        if (kind == 0) {
          disturb(i, 0);
        } else if (random.nextDouble() < share && kind == 1) {
          fleet.host(i).cut(millis);
          disturb(i, millis);
        } else if (random.nextDouble() < share && kind == 3) {
          fleet.host(i).slow(100L + random.nextInt(1_500), millis);
          disturb(i, millis);
        } else if (random.nextDouble() < share && kind == 4) {
          fleet.host(i).kill(millis);
          disturb(i, millis);
        } else if (random.nextDouble() < share && kind == 2) {
          fleet.host(i).refuse(millis);
          storeDisturbedUntil = Math.max(storeDisturbedUntil, fleet.now() + millis);
        }
      }
    }

    private void disturb(int host, long millis) {
      disturbedUntil[host] = Math.max(disturbedUntil[host], fleet.now() + millis);
    }

    private void change() {
      int version = fleet.write();
      fleet.at(fleet.now() + BOUND_MILLIS, () -> check(version));
    }

    private void check(int version) {
      // A later check covers hosts that are disturbed or not yet calm at present.
      for (int i = 0; i < fleet.size(); i++) {
        long calmAt = Math.max(disturbedUntil[i], storeDisturbedUntil) + UNDISTURBED_AFTER_MILLIS;
        if (fleet.host(i).known() < version && calmAt <= fleet.now()) {
          late.add("seed " + seed + ": host " + i + " lacks version " + version);
        }
      }
      if (fleet.now() + CHECK_AGAIN_MILLIS < END_MILLIS) {
        fleet.at(fleet.now() + CHECK_AGAIN_MILLIS, () -> check(version));
      }
    }
  }
}
