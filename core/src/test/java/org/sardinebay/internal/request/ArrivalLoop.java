package org.sardinebay.internal.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.sardinebay.WorkspaceId;

/** Drives a queue with seeded arrivals, one step a millisecond, and counts what callers get. */
final class ArrivalLoop {
  /** Connections; with the kinds' mean work of 14.6 ms, they carry 548 statements a second. */
  private static final int CONNECTIONS = 8;

  private static final int TICK_MILLIS = 10;

  private final Map<Sender, Tally> tallies = new HashMap<>();
  private final PriorityQueue<Double> busyUntil = new PriorityQueue<>();
  private double value;
  private double offered;

  /** The kinds of sundarban-refunds. */
  enum Kind {
    CLAIM_STAMP(4.5, 251, 0, 384, 3.5, 0.43),
    SEAL_LOOKUP(22, 1_201, 2, 720, 0.47, 0.21),
    COUNTER_PAYOUT(14, 501, 1, 384, 1.9, 0.28);

    private final double workMillis;
    private final long targetMillis;
    private final int priority;
    private final long permittedWaitMillis;
    private final double valueInTime;
    private final double valueLate;

    Kind(double work, long target, int priority, long permittedWait, double inTime, double late) {
      this.workMillis = work;
      this.targetMillis = target;
      this.priority = priority;
      this.permittedWaitMillis = permittedWait;
      this.valueInTime = inTime;
      this.valueLate = late;
    }
  }

  /** A workspace's statements of one kind. */
  record Sender(WorkspaceId workspace, Kind kind) {}

  /** Arrivals at a steady rate. */
  record Load(Sender sender, double perSecond, long from, long to) {}

  /** One arrival; the work differs from the kind's mean by up to half. */
  record Arrival(long at, Sender sender, double workMillis) {
    StatementDemand demand() {
      Kind kind = sender.kind;
      return new StatementDemand(
          Optional.of(sender.workspace),
          kind.priority,
          kind.workMillis,
          false,
          at,
          at + kind.targetMillis,
          at + kind.permittedWaitMillis);
    }
  }

  /** What callers got. */
  record Tally(int arrived, int inTime, int rejected, long rejectionMillis) {
    static final Tally NONE = new Tally(0, 0, 0, 0);

    Tally plus(Tally o) {
      return new Tally(
          arrived + o.arrived,
          inTime + o.inTime,
          rejected + o.rejected,
          rejectionMillis + o.rejectionMillis);
    }

    double share() {
      return (double) inTime / arrived;
    }

    double meanRejectionMillis() {
      return (double) rejectionMillis / rejected;
    }
  }

  /** A queue under test. */
  interface Policy {
    /** Adds an arrival; returns false if it was rejected. */
    boolean add(Arrival arrival, long now);

    List<Arrival> removeHopeless(long now);

    void dispatch(long now, Predicate<Arrival> place);
  }

  static WaitEstimate.Capacity capacity() {
    return new WaitEstimate.Capacity(0, CONNECTIONS, OptionalDouble.of(14.6));
  }

  static List<Arrival> arrivals(List<Load> loads, long seed) {
    List<Arrival> arrivals = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(seed);
    for (Load load : loads) {
      double at = load.from - Math.log(1 - random.nextDouble()) * 1_000 / load.perSecond;
      while (at < load.to) {
        double work = (0.5 + random.nextDouble()) * load.sender.kind.workMillis;
        arrivals.add(new Arrival((long) at, load.sender, work));
        at -= Math.log(1 - random.nextDouble()) * 1_000 / load.perSecond;
      }
    }
    arrivals.sort(Comparator.comparingLong(Arrival::at));
    return arrivals;
  }

  ArrivalLoop run(List<Arrival> arrivals, Policy policy) {
    int next = 0;
    for (long t = 0; t < arrivals.get(arrivals.size() - 1).at + 2_000; t++) {
      long now = t;
      while (!busyUntil.isEmpty() && busyUntil.peek() <= now) {
        busyUntil.poll();
      }
      if (now % TICK_MILLIS == 0) {
        policy.removeHopeless(now).forEach(arrival -> rejected(arrival, now));
      }
      policy.dispatch(now, arrival -> start(arrival, now));
      for (; next < arrivals.size() && arrivals.get(next).at <= now; next++) {
        Arrival arrival = arrivals.get(next);
        offered += arrival.sender.kind.valueInTime;
        count(arrival, new Tally(1, 0, 0, 0));
        if (!start(arrival, now) && !policy.add(arrival, now)) {
          rejected(arrival, now);
        }
      }
    }
    return this;
  }

  private boolean start(Arrival arrival, long now) {
    if (busyUntil.size() >= CONNECTIONS) {
      return false;
    }
    busyUntil.add(now + arrival.workMillis);
    Kind kind = arrival.sender.kind;
    boolean inTime = now + arrival.workMillis <= arrival.at + kind.targetMillis;
    value += inTime ? kind.valueInTime : kind.valueLate;
    count(arrival, new Tally(0, inTime ? 1 : 0, 0, 0));
    return true;
  }

  private void rejected(Arrival arrival, long now) {
    count(arrival, new Tally(0, 0, 1, now - arrival.at));
  }

  private void count(Arrival arrival, Tally tally) {
    tallies.merge(arrival.sender, tally, Tally::plus);
  }

  Tally of(Predicate<Sender> senders) {
    return tallies.entrySet().stream()
        .filter(entry -> senders.test(entry.getKey()))
        .map(Map.Entry::getValue)
        .reduce(Tally.NONE, Tally::plus);
  }

  /** The value of the answers, as a share of all arrivals answered in time. */
  double valueShare() {
    return value / offered;
  }

  double value() {
    return value;
  }
}
