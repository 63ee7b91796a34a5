package org.sardinebay.internal.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.sardinebay.WorkspaceId;

/**
 * A queue of waiting statements that shares capacity among workspaces. Covers a workspace that
 * sends many times its usual load, a burst of long statements beside short ones, and load beyond
 * the capacity for seconds.
 *
 * <p>The order is by priority of the route; within a priority, statements that can still meet their
 * target go first; among those, start-time fair queueing over workspaces by expected work divided
 * by weight, then the earliest target. Statements that have waited for half of their permitted wait
 * go before those of the next higher priority, but only for {@link #OVERTAKING_SHARE} of the work,
 * so no priority starves and a burst of long statements does not displace the short ones.
 *
 * <pre>{@code
 * queue.add(item, demand);
 * queue.dispatch(now, item -> dispatch(item));
 * }</pre>
 *
 * <p>Not thread-safe: use it only from the event loop of its owner.
 *
 * @param <T> the type of the queued items
 */
public final class FairStatementQueue<T> implements WaitingStatements<T> {
  /**
   * Start tags that differ by less count as equal, so that the earliest target decides while no
   * workspace uses more than its share. In milliseconds of work per unit of weight: about half a
   * second of a workspace's configured rate. With exact tags, statements expired at a load of 1.0
   * that the order by target answers in time.
   */
  private static final double QUANTUM = 10;

  private static final Comparator<Entry<?>> ORDER =
      Comparator.<Entry<?>>comparingInt(e -> e.demand.priority())
          .thenComparing(e -> e.late)
          .thenComparingDouble(e -> Math.floor(e.startTag / QUANTUM))
          .thenComparingLong(e -> e.demand.targetAt())
          .thenComparingLong(e -> e.sequence);

  /**
   * The share of the work by which a priority may overtake the next higher one. Without a bound, a
   * burst of the long kind of lowest value took a third of the short kinds' answers within target.
   */
  static final double OVERTAKING_SHARE = 0.04;

  /** Bounds the work, in milliseconds, by which overtaking may run ahead or be in arrears. */
  private static final double MAX_OVERTAKING_MILLIS = 50;

  private final ToDoubleFunction<Optional<WorkspaceId>> weight;
  private final TreeSet<Entry<T>> entries = new TreeSet<>(ORDER);
  private final PriorityQueue<Entry<T>> changes =
      new PriorityQueue<>(Comparator.<Entry<T>>comparingLong(e -> e.changesAt));

  /** The shares of the workspaces within each priority. */
  private final Map<Integer, Shares> shares = new HashMap<>();

  /** The work, in milliseconds, by which statements may now overtake higher priorities. */
  private double overtakingMillis;

  private long nextSequence;

  /**
   * Creates an empty queue.
   *
   * @param weight the weight of a workspace, above 0; asked whenever a statement is added
   */
  public FairStatementQueue(ToDoubleFunction<Optional<WorkspaceId>> weight) {
    this.weight = weight;
  }

  /** The virtual time of a priority, and the virtual finish time of each workspace's work. */
  private static final class Shares {
    private final Map<Optional<WorkspaceId>, Double> finishTags = new HashMap<>();
    private double virtualTime;
  }

  private static final class Entry<T> {
    private final T item;
    private final StatementDemand demand;
    private final long sequence;
    private final double cost;
    private double startTag;
    private boolean late;
    private long changesAt;

    private Entry(T item, StatementDemand demand, long sequence, double cost) {
      this.item = item;
      this.demand = demand;
      this.sequence = sequence;
      this.cost = cost;
    }

    /** Updates what depends on the time; the entry must not be in the ordered set. */
    private void update(long now) {
      late = now > demand.latestStartInTarget();
      changesAt = late ? Long.MAX_VALUE : demand.latestStartInTarget() + 1;
    }
  }

  @Override
  public void add(T item, StatementDemand demand) {
    double cost = demand.workMillis() / weight.applyAsDouble(demand.workspace());
    Entry<T> entry = new Entry<>(item, demand, nextSequence++, cost);
    assignTag(entry);
    entry.update(demand.arrivedAt());
    entries.add(entry);
    changes.add(entry);
  }

  private void assignTag(Entry<T> entry) {
    Shares priority = shares.computeIfAbsent(entry.demand.priority(), absent -> new Shares());
    double finished = priority.finishTags.getOrDefault(entry.demand.workspace(), 0.0);
    entry.startTag = Math.max(priority.virtualTime, finished);
    priority.finishTags.put(entry.demand.workspace(), entry.startTag + entry.cost);
  }

  @Override
  public void remove(T item) {
    entries.stream()
        .filter(entry -> entry.item.equals(item))
        .findFirst()
        .ifPresent(entry -> removeUnplaced(List.of(entry)));
  }

  /** Removes statements that were not placed, and gives their share back to their workspaces. */
  private void removeUnplaced(List<Entry<T>> removed) {
    for (Entry<T> entry : removed) {
      entries.remove(entry);
      changes.remove(entry);
    }
    for (Entry<T> entry : removed) {
      returnShare(entry);
    }
    forgetSharesIfEmpty();
  }

  private void returnShare(Entry<T> removed) {
    List<Entry<T>> later =
        entries.stream()
            .filter(e -> e.sequence > removed.sequence)
            .filter(e -> e.demand.priority() == removed.demand.priority())
            .filter(e -> e.demand.workspace().equals(removed.demand.workspace()))
            .toList();
    for (Entry<T> entry : later) {
      entries.remove(entry);
      entry.startTag = Math.max(0, entry.startTag - removed.cost);
      entries.add(entry);
    }
    shares
        .get(removed.demand.priority())
        .finishTags
        .computeIfPresent(removed.demand.workspace(), (id, tag) -> tag - removed.cost);
  }

  @Override
  public void dispatch(long now, Predicate<T> place) {
    for (Entry<T> entry : order(now, e -> now >= e.demand.halfWaitedAt())) {
      if (entries.contains(entry) && place.test(entry.item)) {
        onPlaced(entry);
      }
    }
    forgetSharesIfEmpty();
  }

  private void onPlaced(Entry<T> entry) {
    boolean overtakes = entries.first().demand.priority() < entry.demand.priority();
    double work = entry.demand.workMillis();
    overtakingMillis += overtakes ? -work : work * OVERTAKING_SHARE;
    overtakingMillis =
        Math.max(-MAX_OVERTAKING_MILLIS, Math.min(MAX_OVERTAKING_MILLIS, overtakingMillis));
    entries.remove(entry);
    changes.remove(entry);
    Shares priority = shares.computeIfAbsent(entry.demand.priority(), absent -> new Shares());
    priority.virtualTime = Math.max(priority.virtualTime, entry.startTag);
  }

  /** The statements of one priority, and those of them that may overtake, both in order. */
  private static final class Level<T> {
    private final Deque<Entry<T>> all = new ArrayDeque<>();
    private final Deque<Entry<T>> overtaking = new ArrayDeque<>();

    /** Removes the first statement that was not taken yet. */
    private Optional<Entry<T>> poll(Deque<Entry<T>> from, Set<Entry<T>> taken) {
      while (!from.isEmpty()) {
        Entry<T> entry = from.poll();
        if (taken.add(entry)) {
          return Optional.of(entry);
        }
      }
      return Optional.empty();
    }
  }

  /** Returns the statements in order, where those that overtake take their share of the work. */
  private List<Entry<T>> order(long now, Predicate<Entry<T>> mayOvertake) {
    refresh(now);
    TreeMap<Integer, Level<T>> levels = new TreeMap<>();
    for (Entry<T> entry : entries) {
      Level<T> level = levels.computeIfAbsent(entry.demand.priority(), absent -> new Level<>());
      level.all.add(entry);
      if (mayOvertake.test(entry)) {
        level.overtaking.add(entry);
      }
    }
    List<Entry<T>> result = new ArrayList<>(entries.size());
    Set<Entry<T>> taken = new HashSet<>();
    double allowance = overtakingMillis;
    while (!levels.isEmpty()) {
      Level<T> highest = levels.firstEntry().getValue();
      Optional<Entry<T>> overtaking = Optional.empty();
      if (allowance > 0 && !highest.all.isEmpty()) {
        overtaking =
            Optional.ofNullable(levels.higherEntry(levels.firstKey()))
                .map(Map.Entry::getValue)
                .flatMap(next -> next.poll(next.overtaking, taken));
      }
      Optional<Entry<T>> entry = overtaking.or(() -> highest.poll(highest.all, taken));
      if (entry.isEmpty()) {
        levels.pollFirstEntry();
        continue;
      }
      double work = entry.get().demand.workMillis();
      allowance += overtaking.isPresent() ? -work : work * OVERTAKING_SHARE;
      result.add(entry.get());
    }
    return result;
  }

  /** Without waiting statements there is nothing to share, so earlier use no longer counts. */
  private void forgetSharesIfEmpty() {
    if (entries.isEmpty()) {
      shares.clear();
    }
  }

  /** Reorders the statements that became late, or that have waited for half of their time. */
  private void refresh(long now) {
    while (!changes.isEmpty() && changes.peek().changesAt <= now) {
      Entry<T> entry = changes.poll();
      entries.remove(entry);
      entry.update(now);
      entries.add(entry);
      changes.add(entry);
    }
  }

  @Override
  public List<T> expire(long now) {
    List<Entry<T>> expired =
        entries.stream().filter(entry -> entry.demand.giveUpAt() <= now).toList();
    if (!expired.isEmpty()) {
      removeUnplaced(expired);
    }
    return expired.stream().map(entry -> entry.item).toList();
  }

  @Override
  public List<Waiting<T>> inOrder(long now) {
    // A statement whose turn comes late has waited for half of its time by then.
    return order(now, entry -> true).stream()
        .map(entry -> new Waiting<>(entry.item, entry.demand))
        .toList();
  }

  @Override
  public int size() {
    return entries.size();
  }
}
