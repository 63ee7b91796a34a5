package org.sardinebay.internal.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sardinebay.internal.version.QuotaHosts;
import org.sardinebay.internal.version.QuotaRule;
import org.sardinebay.session.RegisteredHost;
import org.sardinebay.session.Workspace;

/**
 * Guards against more operations in any window than the rule allows, in random histories of demand
 * beyond the limit, hosts that are cut off, killed, started again or paused, two views of the fleet
 * that differ by one host, and limits that change.
 */
class QuotaRuleRandomTest {
  private static final QuotaRule RULE = QuotaFleetRun.RULE;
  private static final long END_MILLIS = 25_000;
  private static final long APPLY_MILLIS = 5_000;
  private static final long CHANGE_AT = 10_000;

  @Property(tries = 300)
  void should_pass_the_rule_in_no_window(
      @ForAll @IntRange(min = 3, max = 60) int size,
      @ForAll @IntRange(min = 1, max = 300) int rate,
      @ForAll @IntRange(min = 0, max = 150) int burstPercent,
      @ForAll @IntRange(min = 0, max = 300) int laterRatePercent,
      @ForAll long seed) {
    Random random = new Random(seed);
    Workspace before = QuotaFleetRun.workspace(rate, rate * burstPercent / 100.0);
    double laterRate = rate * laterRatePercent / 100.0;
    Workspace after = QuotaFleetRun.workspace(laterRate, laterRate);
    QuotaFleetRun run = new QuotaFleetRun(size, before, seed);
    double[] weights = random.doubles(size).map(w -> Math.pow(w, 3)).toArray();
    run.demand(rate * (1 + 4 * random.nextDouble()), weights, 0, END_MILLIS);
    addFaults(run, size, random);
    // With fewer hosts than shards, one shard counted twice is more than the rule tolerates.
    boolean changesFleet = size > 40 && random.nextBoolean();
    for (int i = 0; i < size; i++) {
      QuotaFleetRun.Host host = run.at(i);
      run.at(CHANGE_AT + random.nextInt((int) APPLY_MILLIS), () -> host.limit(after));
      if (changesFleet && random.nextBoolean()) {
        run.at(3_000, () -> host.fleet(largerFleet(size), before));
      }
    }
    run.run(END_MILLIS);

    assertWithinRule(run, before, after);
  }

  /**
   * Hosts that start together have seen only some of the others at first, and each takes itself for
   * a keeper of a small fleet.
   */
  @Property(tries = 100)
  void should_pass_the_rule_in_no_window_while_a_fleet_starts(
      @ForAll @IntRange(min = 12, max = 100) int size,
      @ForAll @IntRange(min = 1, max = 300) int rate,
      @ForAll @IntRange(min = 100, max = 3_000) int startMillis,
      @ForAll long seed) {
    Random random = new Random(seed);
    Workspace workspace = QuotaFleetRun.workspace(rate, rate);
    QuotaFleetRun run = new QuotaFleetRun(size, workspace, seed);
    List<RegisteredHost> registered = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      RegisteredHost entry = QuotaFleetRun.host(i);
      QuotaFleetRun.Host host = run.at(i);
      host.kill();
      long startAt = random.nextInt(startMillis);
      QuotaHosts known = new QuotaHosts(entry.id());
      run.at(
          startAt,
          () -> {
            host.startAlone(known, workspace);
            host.listed(known, List.copyOf(registered), workspace);
          });
      run.at(startAt + 50, () -> registered.add(entry));
      List<List<RegisteredHost>> listings = new ArrayList<>(List.of(List.of()));
      for (long listedAt : List.of(1_000L, 2_000L, 4_000L, 8_000L)) {
        run.at(startAt + listedAt, () -> listings.set(0, List.copyOf(registered)));
      }
      for (long tick = 1_000; tick < END_MILLIS; tick += 200) {
        run.at(startAt + tick, () -> host.listed(known, listings.get(0), workspace));
      }
    }
    run.demand(rate * 5.0, random.doubles(size, 0.2, 1.2).toArray(), 0, END_MILLIS);
    run.run(END_MILLIS);

    assertWithinRule(run, workspace, workspace);
  }

  private static void assertWithinRule(QuotaFleetRun run, Workspace before, Workspace after) {
    double beforeAllowed = RULE.windowLimit(before) + RULE.tolerance(before);
    double afterAllowed = RULE.windowLimit(after) + RULE.tolerance(after);
    int first = 0;
    List<Long> runAt = run.runAt();
    for (int last = 0; last < runAt.size(); last++) {
      while (runAt.get(first) <= runAt.get(last) - RULE.windowMillis()) {
        first++;
      }
      boolean changed = runAt.get(last) >= CHANGE_AT + APPLY_MILLIS + RULE.windowMillis();
      double allowed = changed ? afterAllowed : Math.max(beforeAllowed, afterAllowed);
      assertThat(last - first + 1.0)
          .as("window ending at %s", runAt.get(last))
          .isLessThanOrEqualTo(allowed);
    }
  }

  private static List<RegisteredHost> largerFleet(int size) {
    return IntStream.rangeClosed(0, size).mapToObj(QuotaFleetRun::host).toList();
  }

  private static void addFaults(QuotaFleetRun run, int size, Random random) {
    int faults = random.nextInt(12);
    for (int i = 0; i < faults; i++) {
      QuotaFleetRun.Host host = run.at(random.nextInt(size));
      long at = random.nextInt((int) END_MILLIS);
      long millis = 100L + random.nextInt(5_000);
      switch (random.nextInt(3)) {
        case 0 -> {
          run.at(at, host::kill);
          run.at(at + millis, host::start);
        }
        case 1 -> run.at(at, () -> host.pause(millis));
        default -> cutOff(run, size, at, millis, random);
      }
    }
  }

  private static void cutOff(QuotaFleetRun run, int size, long at, long millis, Random random) {
    Map<Boolean, Set<Integer>> sides =
        IntStream.range(0, size)
            .boxed()
            .collect(Collectors.partitioningBy(i -> random.nextBoolean(), Collectors.toSet()));
    sides.forEach(
        (side, members) ->
            members.forEach(
                i -> {
                  run.at(at, () -> run.at(i).cutOff(sides.get(!side)));
                  run.at(at + millis, () -> run.at(i).cutOff(Set.of()));
                }));
  }
}
