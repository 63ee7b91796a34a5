package org.sardinebay.internal.version;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardinebay.internal.version.SimulatedService.Link;
import org.sardinebay.internal.version.SimulatedService.Member;

/**
 * Guards against two primaries in use at once, across any partition, and against a service that is
 * not served again after the disturbances have ended.
 */
class PrimaryInUseTest {
  /** Hosts know the members, and members are known to all hosts, before anything happens. */
  private static final long SETTLED_MILLIS = 16_000;

  private static final long HEALED_MILLIS = 40_000;

  /** A dead driver's announcement, a stuck driver and one change may follow each other. */
  private static final long SERVED_AGAIN_MILLIS = 20_000;

  private static final int SEEDS = Integer.getInteger("sardinebay.seeds", 50);

  @ParameterizedTest
  @ValueSource(ints = {0, 100_000, 200_000, 300_000})
  void should_have_one_term_across_partitions_crashes_pauses_and_restarts(int firstSeed) {
    List<String> faults = new ArrayList<>();
    for (int seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
      new Day(seed).fault(Day::planDisturbances).ifPresent(faults::add);
    }
    assertThat(faults).isEmpty();
  }

  /**
   * Guards against a lease of a host that has started since a member's entry disappeared, while a
   * driver that still knows the member promotes it.
   */
  @Test
  void should_have_one_term_when_a_host_starts_while_a_member_is_not_registered() {
    List<String> faults = new ArrayList<>();
    for (int seed = 400_000; seed < 400_000 + SEEDS; seed++) {
      new Day(seed).fault(Day::planStartWithoutMember).ifPresent(faults::add);
    }
    assertThat(faults).isEmpty();
  }

  /** A seeded day: disturbances of links, members, hosts and the store that overlap. */
  private static final class Day {
    private final int seed;
    private final Random random;
    private final SimulatedService service;
    private final Set<Long> termsUsed = new HashSet<>();
    private Optional<String> fault = Optional.empty();

    private Day(int seed) {
      this.seed = seed;
      this.random = new Random(seed);
      this.service = new SimulatedService(2 + random.nextInt(4), 2 + random.nextInt(4), random);
    }

    private Optional<String> fault(Consumer<Day> plan) {
      plan.accept(this);
      service.at(HEALED_MILLIS, this::recover);
      service.runUntil(HEALED_MILLIS + SERVED_AGAIN_MILLIS, this::check);
      if (fault.isEmpty()) {
        checkServed();
      }
      return fault.map(text -> "seed " + seed + ": " + text);
    }

    private void planDisturbances() {
      int disturbances = 1 + random.nextInt(6);
      for (int i = 0; i < disturbances; i++) {
        service.at(SETTLED_MILLIS + random.nextInt(16_000), this::disturb);
      }
    }

    /**
     * A member loses the store, and a host starts once its entry is gone. Then a partition leaves
     * that member to the other hosts and the others to the host that has started.
     */
    private void planStartWithoutMember() {
      long lostAt = SETTLED_MILLIS + random.nextInt(4_000);
      long startedAt = lostAt + SimulatedService.ENTRY_MILLIS + random.nextInt(1_500);
      long dividedAt = startedAt + random.nextInt(1_500);
      service.at(lostAt, () -> loseStoreOfReplica(startedAt, dividedAt));
    }

    private void loseStoreOfReplica(long startedAt, long dividedAt) {
      List<Member> replicas = service.members().stream().filter(m -> !m.leads()).toList();
      String replica = replicas.get(random.nextInt(replicas.size())).id().value();
      SimulatedHost started = service.hosts().get(random.nextInt(service.hosts().size()));
      cut(List.of(replica), List.of(SimulatedService.STORE), Link.CUT, HEALED_MILLIS);
      service.at(
          startedAt,
          () -> {
            started.stop();
            started.start();
          });
      List<String> far =
          Stream.concat(
                  Stream.of(started.name()),
                  service.members().stream()
                      .map(m -> m.id().value())
                      .filter(m -> !m.equals(replica)))
              .toList();
      List<String> near = names().stream().filter(name -> !far.contains(name)).toList();
      Link link = random.nextBoolean() ? Link.REFUSING : Link.CUT;
      service.at(dividedAt, () -> cut(near, far, link, HEALED_MILLIS));
    }

    private void check() {
      if (fault.isEmpty()) {
        fault = service.conflict(termsUsed);
      }
    }

    private void checkServed() {
      List<OptionalLong> terms = service.hosts().stream().map(SimulatedHost::termInUse).toList();
      if (terms.stream().anyMatch(OptionalLong::isEmpty) || terms.stream().distinct().count() > 1) {
        fault = Optional.of("terms in use at the end " + terms);
      }
    }

    private void recover() {
      service.members().forEach(Member::restart);
      service.storeDown(false);
    }

    private void disturb() {
      long until = Math.min(service.now() + 500 + random.nextInt(16_000), HEALED_MILLIS);
      switch (random.nextInt(11)) {
        case 0, 1, 2 -> partition(until);
        case 8, 9, 10 -> partitionInTwoSteps(until);
        case 3 -> disturbLinks(until);
        case 4 -> crashMembers(until);
        case 5 -> pauseOrRestartHost(until);
        case 6 -> {
          service.storeDown(true);
          service.at(until, () -> service.storeDown(false));
        }
        default -> drainMember(until);
      }
    }

    /** Cuts all links, or a kind of them, between two sides. */
    private void partition(long until) {
      Link link = random.nextInt(3) == 0 ? Link.REFUSING : Link.CUT;
      boolean hostsWhole = random.nextBoolean();
      Set<String> side = new HashSet<>();
      List<String> all = names();
      all.stream().filter(name -> random.nextBoolean()).forEach(side::add);
      for (String from : all) {
        for (String to : all) {
          boolean betweenHosts = from.startsWith("host") && to.startsWith("host");
          if (side.contains(from) != side.contains(to) && !(hostsWhole && betweenHosts)) {
            service.disturb(from, to, link, until);
          }
        }
      }
    }

    /**
     * The driver's side loses the primary first, and the rest of the other side while it carries
     * out the change.
     */
    private void partitionInTwoSteps(long until) {
      Link link = random.nextBoolean() ? Link.REFUSING : Link.CUT;
      Set<String> far = new HashSet<>();
      names().stream()
          .filter(name -> !name.equals(SimulatedService.STORE) && random.nextBoolean())
          .forEach(far::add);
      List<String> near = names().stream().filter(name -> !far.contains(name)).toList();
      for (Member member : service.members()) {
        if (member.leads()) {
          far.add(member.id().value());
          cut(near, List.of(member.id().value()), link, until);
        }
      }
      service.at(
          service.now() + random.nextInt(3_500),
          () -> cut(near, far.stream().sorted().toList(), link, until));
    }

    private void cut(List<String> near, List<String> far, Link link, long until) {
      for (String from : near) {
        for (String to : far) {
          service.disturb(from, to, link, until);
          service.disturb(to, from, link, until);
        }
      }
    }

    private void disturbLinks(long until) {
      List<String> all = names();
      int count = 1 + random.nextInt(6);
      for (int i = 0; i < count; i++) {
        String from = all.get(random.nextInt(all.size()));
        String to = all.get(random.nextInt(all.size()));
        Link link = random.nextInt(3) == 0 ? Link.REFUSING : Link.CUT;
        service.disturb(from, to, link, until);
        if (random.nextBoolean()) {
          service.disturb(to, from, link, until);
        }
      }
    }

    private List<String> names() {
      return Stream.of(
              Stream.of(SimulatedService.STORE),
              service.hosts().stream().map(SimulatedHost::name),
              service.members().stream().map(member -> member.id().value()))
          .flatMap(names -> names)
          .toList();
    }

    private void crashMembers(long until) {
      for (Member member : service.members()) {
        if (random.nextInt(2) == 0) {
          member.crash();
          service.at(until, member::restart);
        }
      }
    }

    private void pauseOrRestartHost(long until) {
      SimulatedHost host = service.hosts().get(random.nextInt(service.hosts().size()));
      if (random.nextBoolean()) {
        host.pause(true);
        service.at(until, () -> host.pause(false));
      } else {
        host.stop();
        service.at(until, host::start);
      }
    }

    private void drainMember(long until) {
      Member member = service.members().get(random.nextInt(service.members().size()));
      member.drain();
      service.at(until, member::crash);
      service.at(until + 2_000, member::restart);
    }
  }
}
