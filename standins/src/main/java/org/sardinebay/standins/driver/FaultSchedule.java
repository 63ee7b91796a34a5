package org.sardinebay.standins.driver;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Generates a random fault schedule: rounds of one or two faults that start every 5.7 s. Long
 * faults overlap the next round. Every schedule has at least one fault on a primary, one platform
 * outage, one graceful shutdown, one leaving endpoint and one operator race; the other faults are
 * drawn at random.
 *
 * <pre>{@code
 * List<Fault> faults = new FaultSchedule(spec, new Random(seed)).draw(30_000);
 * }</pre>
 */
final class FaultSchedule {
  private static final long FIRST_ROUND_MILLIS = 1_500;
  private static final long ROUND_MILLIS = 5_700;
  private static final int MIN_ROUNDS = 5;
  private static final long MIN_DURATION_MILLIS = 3_200;
  private static final int DURATION_RANGE_MILLIS = 2_000;
  private static final int MAX_SECOND_FAULT_OFFSET_MILLIS = 1_200;
  private static final long LEAVING_MILLIS = 6_500;
  private static final int SLOW_LINK_MILLIS = 150;
  private static final int PLATFORM_DELAY_MILLIS = 400;
  private static final int MAX_LAG_MILLIS = 2_000;
  private static final int MAX_REPLIES = 6;

  private static final List<FaultKind> ON_PRIMARY =
      List.of(FaultKind.KILL, FaultKind.FREEZE, FaultKind.CUT_PROCESS, FaultKind.CUT_ONE_WAY);
  private static final List<FaultKind> ANY_KIND =
      List.of(
          FaultKind.KILL,
          FaultKind.FREEZE,
          FaultKind.CUT_PROCESS,
          FaultKind.CUT_ONE_WAY,
          FaultKind.CUT_PAIR,
          FaultKind.CUT_DOMAIN,
          FaultKind.SLOW_LINKS,
          FaultKind.LOSE_REPLIES,
          FaultKind.CROSS_REPLIES,
          FaultKind.REPLICA_LAG,
          FaultKind.FREEZE_APPLY,
          FaultKind.PLATFORM_OUTAGE,
          FaultKind.PLATFORM_SLOW,
          FaultKind.PLATFORM_LOSES_ANSWERS,
          FaultKind.PLATFORM_FLOOD);

  /**
   * Faults that may overlap a graceful shutdown; the shutdown must complete all requests and
   * transactions despite them.
   */
  private static final List<FaultKind> COMPATIBLE_WITH_SHUTDOWN =
      List.of(
          FaultKind.REPLICA_LAG,
          FaultKind.FREEZE_APPLY,
          FaultKind.LOSE_REPLIES,
          FaultKind.CROSS_REPLIES,
          FaultKind.PLATFORM_OUTAGE,
          FaultKind.PLATFORM_LOSES_ANSWERS,
          FaultKind.RACING_OPERATORS);

  private final DeploymentSpec spec;
  private final Random random;

  FaultSchedule(DeploymentSpec spec, Random random) {
    this.spec = spec;
    this.random = random;
  }

  /**
   * Draws a schedule.
   *
   * @param millis the duration of the run; a schedule has at least five rounds even if it is
   *     shorter
   */
  List<Fault> draw(long millis) {
    int rounds = (int) Math.max(MIN_ROUNDS, (millis - FIRST_ROUND_MILLIS) / ROUND_MILLIS);
    List<Integer> roundNumbers = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      roundNumbers.add(round);
    }
    Collections.shuffle(roundNumbers, random);
    List<Fault> faults = new ArrayList<>();
    for (int position = 0; position < rounds; position++) {
      faults.addAll(
          round(roundNumbers.get(position), FIRST_ROUND_MILLIS + (long) position * ROUND_MILLIS));
    }
    return List.copyOf(faults);
  }

  /** Rounds 0 to 3 hold the mandatory faults; the order of the rounds is random. */
  private List<Fault> round(int number, long startMillis) {
    return switch (number) {
      case 0 -> maybeWithSecond(onPrimary(startMillis));
      case 1 ->
          List.of(
              terminate(startMillis),
              anyFault(withRandomOffset(startMillis), COMPATIBLE_WITH_SHUTDOWN));
      case 2 -> List.of(leaving(startMillis), operatorRace(withRandomOffset(startMillis)));
      case 3 -> List.of(outage(startMillis), operatorRace(withRandomOffset(startMillis)));
      default ->
          maybeWithSecond(
              random.nextBoolean() ? onPrimary(startMillis) : anyFault(startMillis, ANY_KIND));
    };
  }

  private List<Fault> maybeWithSecond(Fault fault) {
    return random.nextBoolean()
        ? List.of(fault)
        : List.of(fault, anyFault(withRandomOffset(fault.atMillis()), ANY_KIND));
  }

  private long withRandomOffset(long startMillis) {
    return startMillis + random.nextInt(MAX_SECOND_FAULT_OFFSET_MILLIS);
  }

  private Fault onPrimary(long startMillis) {
    FaultKind kind = pick(ON_PRIMARY);
    return new Fault(kind, Fault.PRIMARY_OF + database(), "", startMillis, duration(), 0);
  }

  private Fault terminate(long startMillis) {
    return new Fault(FaultKind.TERMINATE, host(), "", startMillis, duration(), 0);
  }

  private Fault leaving(long startMillis) {
    String target = (random.nextBoolean() ? Fault.PRIMARY_OF : Fault.REPLICA_OF) + database();
    return new Fault(FaultKind.LEAVING_ENDPOINT, target, "", startMillis, LEAVING_MILLIS, 0);
  }

  private Fault operatorRace(long startMillis) {
    String record = spec.staleness().get(random.nextInt(spec.staleness().size())).name();
    return new Fault(FaultKind.RACING_OPERATORS, record, "", startMillis, duration(), 0);
  }

  private Fault outage(long startMillis) {
    return new Fault(FaultKind.PLATFORM_OUTAGE, Topology.PLATFORM, "", startMillis, duration(), 0);
  }

  private Fault anyFault(long startMillis, List<FaultKind> kinds) {
    FaultKind kind = pick(kinds);
    return switch (kind) {
      case KILL, FREEZE, CUT_PROCESS, CUT_ONE_WAY -> fault(kind, process(), startMillis, 0);
      case CUT_PAIR ->
          new Fault(kind, process(), Fault.PRIMARY_OF + database(), startMillis, duration(), 0);
      case CUT_DOMAIN -> fault(kind, domain(), startMillis, 0);
      case SLOW_LINKS -> fault(kind, process(), startMillis, SLOW_LINK_MILLIS);
      case LOSE_REPLIES, CROSS_REPLIES ->
          fault(kind, Fault.PRIMARY_OF + database(), startMillis, 1 + random.nextInt(MAX_REPLIES));
      case REPLICA_LAG ->
          fault(kind, Fault.REPLICA_OF + database(), startMillis, random.nextInt(MAX_LAG_MILLIS));
      case FREEZE_APPLY -> fault(kind, Fault.REPLICA_OF + database(), startMillis, 0);
      case PLATFORM_SLOW -> fault(kind, Topology.PLATFORM, startMillis, PLATFORM_DELAY_MILLIS);
      case PLATFORM_LOSES_ANSWERS ->
          fault(kind, Topology.PLATFORM, startMillis, 1 + random.nextInt(MAX_REPLIES));
      case PLATFORM_OUTAGE, PLATFORM_FLOOD -> fault(kind, Topology.PLATFORM, startMillis, 0);
      case RACING_OPERATORS -> operatorRace(startMillis);
      case TERMINATE -> terminate(startMillis);
      case LEAVING_ENDPOINT -> leaving(startMillis);
    };
  }

  private Fault fault(FaultKind kind, String target, long startMillis, long amount) {
    return new Fault(kind, target, "", startMillis, duration(), amount);
  }

  private long duration() {
    return MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
  }

  private String process() {
    return switch (random.nextInt(4)) {
      case 0 -> host();
      case 1 -> host() + Topology.CONTROLLER_SUFFIX;
      case 2 -> Fault.PRIMARY_OF + database();
      default -> Fault.REPLICA_OF + database();
    };
  }

  private String host() {
    return pick(spec.domains().stream().flatMap(domain -> domain.hosts().stream()).toList());
  }

  private String domain() {
    return pick(spec.domains()).name();
  }

  private String database() {
    return pick(spec.databases()).id();
  }

  private <T> T pick(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
