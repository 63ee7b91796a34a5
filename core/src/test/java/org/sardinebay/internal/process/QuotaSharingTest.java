package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against refusals below a workspace's limit when its demand is spread unevenly over the
 * hosts. Prints the figures that docs/design/20-quotas.md states.
 */
class QuotaSharingTest {
  private static final double[] RATES = {12, 60, 198};
  private static final int SEEDS = 8;
  private static final long WARM_MILLIS = 3_000;
  private static final long END_MILLIS = 23_000;

  /** Demand below this part of the limit is expected to be served. */
  private static final double USUAL_DEMAND = 1 / 1.6;

  /** The spread of demand: half of it in one failure domain, and there mostly at a few hosts. */
  private static double[] uneven(int hosts, long seed) {
    Random random = new Random(seed);
    int domain = random.nextInt(6);
    double[] weights = new double[hosts];
    for (int i = 0; i < hosts; i++) {
      double own = 1 / (1 + random.nextDouble() * hosts);
      weights[i] = i % 6 == domain ? 5 * own : own;
    }
    return weights;
  }

  /** What one run gave; the equal shares serve at each host at most its share of the rate. */
  private record Sample(QuotaFleetRun run, double given, double givenByEqualShares) {}

  /** Runs all rates and spreads of demand; hosts of a failure domain may be down. */
  private static List<Sample> samples(int hosts, double demand, boolean domainDown) {
    List<Sample> samples = new ArrayList<>();
    for (double rate : RATES) {
      for (long seed = 0; seed < SEEDS; seed++) {
        QuotaFleetRun run = new QuotaFleetRun(hosts, QuotaFleetRun.workspace(rate, rate), seed);
        double[] weights = uneven(hosts, seed);
        for (int i = (int) seed % 6; domainDown && i < hosts; i += 6) {
          weights[i] = 0;
          run.at(i).kill();
        }
        run.demand(demand * rate, weights, 0, END_MILLIS);
        run.run(WARM_MILLIS);
        run.resetCounts();
        run.run(END_MILLIS);
        double total = Arrays.stream(weights).sum();
        double equal =
            Arrays.stream(weights).map(w -> Math.min(demand * w / total, 1.0 / hosts)).sum();
        double given = run.runAt().size() / (rate * (END_MILLIS - WARM_MILLIS) / 1_000);
        samples.add(new Sample(run, given, equal));
      }
    }
    return samples;
  }

  private static DoubleSummaryStatistics figure(
      int hosts, String name, List<Sample> samples, ToDoubleFunction<Sample> value) {
    DoubleSummaryStatistics figure = samples.stream().mapToDouble(value).summaryStatistics();
    System.out.printf(
        "hosts=%d %s: min=%.4f mean=%.4f max=%.4f%n",
        hosts, name, figure.getMin(), figure.getAverage(), figure.getMax());
    return figure;
  }

  @ParameterizedTest
  @ValueSource(ints = {18, 95, 300})
  void should_give_out_most_of_the_limit_when_demand_exceeds_it(int hosts) {
    List<Sample> samples = samples(hosts, 2, false);
    figure(hosts, "beyond the limit, calls", samples, s -> s.run().callsPerStatement());
    var equal =
        figure(hosts, "beyond the limit, equal shares", samples, Sample::givenByEqualShares);
    var given = figure(hosts, "beyond the limit, given", samples, Sample::given);

    assertThat(given.getMin()).isGreaterThan(0.95).isGreaterThan(equal.getMax());
  }

  @ParameterizedTest
  @ValueSource(ints = {18, 95, 300})
  void should_refuse_nearly_nothing_when_demand_is_usual(int hosts) {
    List<Sample> samples = samples(hosts, USUAL_DEMAND, false);
    figure(hosts, "usual, calls", samples, s -> s.run().callsPerStatement());
    figure(hosts, "usual, wait in ms", samples, s -> s.run().meanWaitMillis());
    ToDoubleFunction<Sample> refusedByEqualShares = s -> 1 - s.givenByEqualShares() / USUAL_DEMAND;
    figure(hosts, "usual, refused by equal shares", samples, refusedByEqualShares);
    var refused = figure(hosts, "usual, refused", samples, s -> s.run().refusedPart());

    assertThat(refused.getMax()).isLessThan(0.02);
    assertThat(refused.getAverage()).isLessThan(0.003);
  }

  /** The callers of the domain that is down have moved to the other hosts. */
  @Test
  void should_refuse_little_when_the_hosts_of_a_failure_domain_are_down() {
    List<Sample> samples = samples(95, USUAL_DEMAND, true);
    var refused = figure(95, "usual, a sixth down, refused", samples, s -> s.run().refusedPart());

    assertThat(refused.getAverage()).isLessThan(0.05);
  }
}
